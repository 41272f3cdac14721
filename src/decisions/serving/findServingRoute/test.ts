import t from 'tap';
import { RetryPolicy, type ServingRoute } from '../../../ports/serving.js';
import { buildRouteTable, findServingRoute } from './index.js';

const route = (hostName: string, prefix: string): ServingRoute => ({
  name: `${hostName}${prefix}`,
  hostName,
  prefix,
  isStream: false,
  retryPolicy: RetryPolicy.once,
  timeoutMs: 1000,
  latencyTargetMs: 100,
  priority: 1,
  shares: [{ service: 'certificates', weight: 1 }],
  maximumAttempts: 1,
  isAuthExempt: false,
});
const table = buildRouteTable([
  route('lagos.example', '/'),
  route('lagos.example', '/certs/'),
  route('lagos.example', '/certs/new/'),
  route('quito.example', '/visits/'),
]);
const find = (host: string, target: string) => findServingRoute(table, host, target)?.prefix;

t.test('selects the longest prefix', (t) => {
  t.equal(find('lagos.example', '/certs/new/7'), '/certs/new/');
  t.equal(find('lagos.example', '/certs/old/7'), '/certs/');
  t.equal(find('lagos.example', '/other'), '/');
  t.end();
});

t.test('compares whole path segments and ignores the query', (t) => {
  t.equal(find('lagos.example', '/certs'), '/');
  t.equal(find('lagos.example', '/certsnew/7'), '/');
  t.equal(find('lagos.example', '/x?next=/certs/new/'), '/');
  t.equal(find('quito.example', '/visits/?a=1'), '/visits/');
  t.end();
});

t.test('finds nothing for another host name, and accepts a host name with a port', (t) => {
  t.equal(find('quito.example', '/certs/'), undefined);
  t.equal(find('elsewhere.example', '/'), undefined);
  t.equal(find('Quito.Example:8080', '/visits/1'), '/visits/');
  t.end();
});
