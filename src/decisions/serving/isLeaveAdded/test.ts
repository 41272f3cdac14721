import t from 'tap';
import type { BackendServer } from '../../../ports/serving.js';
import { isLeaveAdded } from './index.js';

const buildServers = (...servers: Partial<BackendServer>[]): Map<string, BackendServer> =>
  new Map(
    servers.map((change) => {
      const server = {
        id: 's1',
        service: 'llm',
        address: '127.0.0.1',
        port: 1,
        dataCentre: 'a',
        slots: 4,
        isLeaving: false,
        models: [],
        incarnation: 's1/1',
        ...change,
      };
      return [server.id, server];
    }),
  );

t.test('finds servers that are gone, draining or another process', (t) => {
  t.ok(isLeaveAdded(buildServers({}), buildServers()));
  t.ok(isLeaveAdded(buildServers({}), buildServers({ isLeaving: true })));
  t.ok(isLeaveAdded(buildServers({}), buildServers({ incarnation: 's1/2' })));
  t.end();
});

t.test('finds none in other changes', (t) => {
  t.notOk(isLeaveAdded(buildServers(), buildServers({})));
  t.notOk(isLeaveAdded(buildServers({ isLeaving: true }), buildServers()), 'was known to leave');
  t.notOk(
    isLeaveAdded(buildServers({}), buildServers({ models: [{ name: 'oak', adapters: [] }] })),
  );
  t.end();
});
