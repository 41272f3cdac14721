import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import t from 'tap';
import { checkBundle } from './index.js';

const validBundle = `version: 1
services:
  - { name: moisture, engines: 3, memoryBytes: 100 }
models:
  - { name: oak, version: v1, service: moisture, bytes: 20, replicas: 2 }
adapters:
  - { name: depot, version: v1, model: oak, bytes: 5 }
organisations:
  - { name: acme, rate: 1000, burst: 2000, keys: [] }
limits: { loadsPerSecond: 2, loadsAtOnce: 3, adaptersInFlight: 24 }
`;

function listFindings(text: string): string[] {
  const checked = checkBundle(text);
  return isLeft(checked) ? checked.left.map(({ line, path }) => `${line} ${path}`) : [];
}

t.test('accepts a valid bundle', (t) => {
  t.ok(isRight(checkBundle(validBundle)));
  t.end();
});

t.test('reports all findings with their lines', (t) => {
  const invalidBundle = validBundle
    .replace('service: moisture', 'service: nowhere')
    .replace('model: oak', 'model: elm')
    .replace('burst: 2000', 'burst: 10');
  t.strictSame(listFindings(invalidBundle), [
    '5 models[0].service',
    '7 adapters[0].model',
    '9 organisations[0].burst',
  ]);
  t.end();
});

t.test('reports schema violations and invalid YAML', (t) => {
  t.strictSame(listFindings(validBundle.replace('bytes: 20', 'bytes: many')), [
    '5 models[0].bytes',
  ]);
  t.strictSame(listFindings(validBundle.replace('version: 1\n', 'version: 1\nmodell: 2\n')), [
    '1 ',
  ]);
  t.equal(listFindings('models: [').length > 0, true);
  t.end();
});

t.test('refuses a bundle that leaves no room for a rolling update', (t) => {
  const oversizedBundle = validBundle
    .replace('replicas: 2', 'replicas: 2')
    .replace('bytes: 20', 'bytes: 60');
  t.strictSame(listFindings(oversizedBundle), ['3 services[0].memoryBytes']);
  t.end();
});

t.test('refuses a key that two organisations list', (t) => {
  const digest = 'a'.repeat(64);
  const bundleWithSharedKey = validBundle
    .replace(
      'organisations:\n',
      `organisations:\n  - { name: globex, rate: 1000, burst: 2000, keys: ["${digest}"] }\n`,
    )
    .replace('keys: [] }', `keys: ["${digest}"] }`);
  t.strictSame(listFindings(bundleWithSharedKey), ['10 organisations[1].keys[0]']);
  t.end();
});
