import t from 'tap';
import { encodeRevision } from '../../decisions/storeEpochs/encodeRevision/index.js';
import { createEvacuations } from './index.js';

const PREFIX = 'op/evacuate/';

function openEvacuations({ prefix }: { prefix?: string } = { prefix: PREFIX }) {
  const clock = { nowMs: 0 };
  const readMs = () => clock.nowMs;
  const lines: string[] = [];
  const write = (_: object, message: string): void => void lines.push(message);
  const changes: { evacuated: string[]; revoked: string[] }[] = [];
  const evacuations = createEvacuations({
    clock: { monotonicMs: readMs, wallMs: readMs },
    log: { info: write, warn: write, error: write },
    prefix,
    onChange: (change) => changes.push(change),
  });
  const recordRead = (): void =>
    evacuations.recordComplete({ monotonicMs: clock.nowMs, wallMs: clock.nowMs });
  return { evacuations, clock, lines, changes, recordRead };
}

const put = (name: string, revision: number) => ({
  key: PREFIX + name,
  value: Buffer.from('no json'),
  revision,
  lease: 0,
});
const remove = (name: string, revision: number) => ({ key: PREFIX + name, revision, lease: 0 });

t.test('uses no server before the set is known, and ignores other keys', (t) => {
  const { evacuations } = openEvacuations();
  t.ok(evacuations.isEvacuated('a'));
  t.notOk(evacuations.isKnown());
  const keys = [put('b', 4), { ...put('', 5), key: 'op/config' }, put('', 6)];
  evacuations.applyKeys(keys, { revision: 9, isSnapshot: true });
  t.notOk(evacuations.isEvacuated('a'));
  t.strictSame(evacuations.list(), ['b']);
  t.end();
});

t.test('has no effect in a deployment without evacuations', (t) => {
  const { evacuations, changes } = openEvacuations({});
  evacuations.applyKeys([put('b', 4)], { revision: 9, isSnapshot: true });
  evacuations.applySent({ revision: 9, evacuated: [{ dataCentre: 'b', revision: 4 }] }, undefined);
  t.notOk(evacuations.isEvacuated('b'));
  t.ok(evacuations.isKnown());
  t.equal(evacuations.getAgeMs(), 0);
  t.equal(evacuations.encode(), undefined);
  t.strictSame(changes, []);
  t.end();
});

t.test('logs an evacuation and its revocation once each, over repeated views', (t) => {
  const { evacuations, lines, changes } = openEvacuations();
  evacuations.applyKeys([], { revision: 3, isSnapshot: true });
  const sent = { revision: 4, evacuated: [{ dataCentre: 'b', revision: 4 }] };
  for (let view = 0; view < 5; view += 1) evacuations.applySent(sent, undefined);
  evacuations.applyKeys([put('b', 4), remove('b', 6)], { revision: 6, isSnapshot: false });
  for (let view = 0; view < 5; view += 1) evacuations.applySent(sent, undefined);
  t.equal(lines.length, 2);
  t.strictSame(changes, [
    { evacuated: ['b'], revoked: [] },
    { evacuated: [], revoked: ['b'] },
  ]);
  t.end();
});

t.test('passes the set on to a host that reads nothing itself', (t) => {
  const { evacuations: leader, clock, recordRead } = openEvacuations();
  leader.applyKeys([put('b', encodeRevision(1, 4))], {
    revision: encodeRevision(1, 4),
    isSnapshot: true,
  });
  recordRead();
  leader.applyKeys([], { revision: encodeRevision(2, 2), isSnapshot: true });
  clock.nowMs = 300;
  const sent = leader.encode();
  t.equal(sent?.ageMs, 300);
  const { evacuations: host, clock: hostClock, recordRead: recordView } = openEvacuations();
  if (sent !== undefined) host.applySent(sent, { monotonicMs: 0, wallMs: 0 });
  t.strictSame(host.list(), ['b']);
  hostClock.nowMs = 1500;
  recordView();
  t.strictSame(host.list(), ['b']);
  hostClock.nowMs = 2500;
  recordView();
  t.strictSame(host.list(), [], 'not written again');
  t.end();
});

t.test('a leader that does not know of a restore does not make the set look current', (t) => {
  const { evacuations, clock, recordRead } = openEvacuations();
  evacuations.applyKeys([], { revision: encodeRevision(2, 3), isSnapshot: true });
  recordRead();
  clock.nowMs = 1000;
  evacuations.applySent(
    { revision: encodeRevision(1, 9), evacuated: [] },
    { monotonicMs: 900, wallMs: 900 },
  );
  t.equal(evacuations.getAgeMs(), 1000);
  t.end();
});
