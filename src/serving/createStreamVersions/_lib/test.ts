import { setTimeout as wait } from 'node:timers/promises';
import t, { type Test } from 'tap';
import type { BackendServer } from '../../../ports/serving.js';
import { createStoreOutage } from '../../createStoreOutage/index.js';
import { buildVersionKey } from '../../versionKeys.js';
import { createStoreTries } from './createStoreTries.js';
import { createVersionView } from './createVersionView.js';

const SERVICE = 'llm';
const REREAD_MS = 800; // beyond the delay of a read after a restore

/** Opens the view of a host that has read the key of v1, and knows a server of it. */
async function openView(t: Test) {
  const state = { versions: ['v1'], epoch: 1, isDown: false, nowMs: 0, mixed: 0 };
  let onEpochChange = (): void => undefined;
  const list = () => {
    if (state.isDown) return Promise.reject(new Error('status 503'));
    const items = state.versions.map((version) => {
      const key = { service: SERVICE, version };
      const value = Buffer.from(JSON.stringify({ ...key, epoch: state.epoch }));
      return { key: buildVersionKey(key), value, revision: 1, lease: 0 };
    });
    return Promise.resolve({ items, hasMore: false, revision: 1 });
  };
  const view = createVersionView({
    store: {
      list,
      getEpoch: () => state.epoch,
      onEpochChange: (listener) => (onEpochChange = () => listener(state.epoch)),
    },
    clock: { monotonicMs: () => state.nowMs },
    log: { info: () => undefined, warn: () => undefined, error: () => undefined },
    random: () => 0,
    firstReadDelayMs: 0,
    onMixed: () => (state.mixed += 1),
  });
  t.teardown(view.close);
  const setServers = (...versions: string[]): void => {
    const servers = versions.map((softwareVersion) => ({ service: SERVICE, softwareVersion }));
    view.setServers(new Map(servers.map((server, id) => [`${id}`, server as BackendServer])));
  };
  setServers('v1');
  await wait(10);
  t.equal(view.findSole(SERVICE), 'v1');
  return { state, view, setServers, changeEpoch: () => onEpochChange() };
}

t.test('keys of a restored store are read again', async (t) => {
  const { state, view, changeEpoch } = await openView(t);
  Object.assign(state, { versions: ['v0', 'v1'], epoch: 2 });
  changeEpoch();
  t.strictSame([view.findSole(SERVICE), state.mixed], [undefined, 1]);
  await wait(REREAD_MS);
  t.strictSame([...view.getKnown(SERVICE).recorded], ['v0', 'v1']);
});

t.test('a version that left before the keys were read counts for new streams', async (t) => {
  const { state, view, setServers } = await openView(t);
  state.isDown = true;
  setServers('v1', 'v2');
  setServers('v1');
  for (const [nowMs, version] of [
    [44_999, undefined],
    [45_001, 'v1'],
  ] as const) {
    state.nowMs = nowMs;
    t.equal(view.findSole(SERVICE), version);
  }
});

t.test('a version that another read finds counts for new streams', async (t) => {
  const { state, view } = await openView(t);
  for (const [versions, sole, mixed] of [
    [['v1', 'v2'], undefined, 1],
    [['v1'], 'v1', 1],
  ] as const) {
    view.setRecorded(SERVICE, new Set(versions));
    t.strictSame([view.findSole(SERVICE), state.mixed], [sole, mixed]);
  }
});

// A host whose feed came back before its own watch of the store had no other call that could end the outage.
t.test('a store that is away is asked now and then', (t) => {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs };
  const outage = createStoreOutage({ clock });
  const mayAskStore = createStoreTries(clock, outage);
  t.ok(mayAskStore());
  outage.recordFailure({ task: 'watch', askedAtMs: 0, mayWaitForOthers: false });
  const asked = [0, 1999, 2000, 2001, 3999, 4000].map((atMs) => {
    nowMs = atMs;
    return mayAskStore();
  });
  t.strictSame(asked, [true, false, true, false, false, true]);
  outage.recordResponse();
  t.ok(mayAskStore());
  t.end();
});
