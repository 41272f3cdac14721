import t from 'tap';
import { createCrashEvidence } from '../createCrashEvidence/index.js';
import type { SavedPartGroup } from '../types.js';
import { createPartQuarantine, type PartQuarantine } from './index.js';

const ROUND_MS = 200;
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined };

interface SimulatedFleet {
  leader: PartQuarantine | undefined;
  bytesSent: number;
  setLeader: (groups: readonly SavedPartGroup[] | undefined) => void;
  runRounds: (count: number) => void;
  /** One host sees a server break the connection of a request with these parts. */
  crash: (host: number, server: string, ...parts: string[]) => void;
  serve: (host: number, ...parts: string[]) => void;
  countQuarantining: (...parts: string[]) => number;
}

/** Hosts that exchange reports and views with a leader each round, in simulated time. */
function createFleet(hostCount: number, saved: readonly SavedPartGroup[] = []): SimulatedFleet {
  let nowMs = 0;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  const createLeader = (groups: readonly SavedPartGroup[]): PartQuarantine =>
    createPartQuarantine({ clock, log: silentLog, saved: groups });
  const hosts = Array.from({ length: hostCount }, () =>
    createCrashEvidence(clock, () => fleet.leader !== undefined),
  );
  const runRound = (): void => {
    nowMs += ROUND_MS;
    const { leader } = fleet;
    if (leader === undefined) return;
    hosts.forEach((host, index) =>
      leader.recordReport({ host: `h${index}`, ...host.takeReport() }),
    );
    leader.update();
    hosts.forEach((host, index) => {
      const state = leader.takeState(`h${index}`);
      if (state === undefined) return;
      host.setQuarantine(state, 'leader');
      fleet.bytesSent += JSON.stringify(state).length;
    });
  };
  const fleet: SimulatedFleet = {
    leader: createLeader(saved),
    bytesSent: 0,
    setLeader: (groups) => {
      fleet.leader = groups === undefined ? undefined : createLeader(groups);
      for (const host of hosts) host.resetReported();
    },
    runRounds: (count) => {
      for (let round = 0; round < count; round += 1) runRound();
    },
    crash: (host, server, ...parts) => hosts[host]?.recordCrash(server, parts, nowMs - 10),
    serve: (host, ...parts) => hosts[host]?.recordServed(parts),
    countQuarantining: (...parts) =>
      hosts.filter((host) => host.listQuarantined(parts).length > 0).length,
  };
  return fleet;
}

t.test('all hosts know of crashes that two hosts saw, within a second', (t) => {
  const fleet = createFleet(7);
  fleet.crash(0, 'e1', 'first', 'bad');
  fleet.serve(3, 'first');
  fleet.runRounds(1);
  fleet.crash(5, 'e2', 'first', 'bad');
  fleet.serve(3, 'first');
  fleet.runRounds(4);
  t.equal(fleet.countQuarantining('first', 'bad'), 7);
  t.equal(fleet.countQuarantining('first', 'beside'), 0);
  t.end();
});

t.test('a part that any host has served is not quarantined for crashes by chance', (t) => {
  const fleet = createFleet(7);
  fleet.serve(6, 'rare');
  fleet.runRounds(5);
  fleet.crash(0, 'e1', 'rare');
  fleet.crash(1, 'e2', 'rare');
  for (let round = 0; round < 10; round += 1) {
    fleet.runRounds(1);
    t.equal(fleet.countQuarantining('rare'), 0);
  }
  t.end();
});

t.test('one trial is granted, and the part is cleared when it is served', (t) => {
  const fleet = createFleet(3);
  fleet.crash(0, 'e1', 'rare');
  fleet.crash(1, 'e2', 'rare');
  fleet.runRounds(4);
  t.equal(fleet.countQuarantining('rare'), 3);
  t.equal(fleet.leader?.tryTrial(['first', 'rare']), true);
  t.equal(fleet.leader?.tryTrial(['first', 'rare']), false);
  fleet.serve(2, 'rare');
  fleet.runRounds(1);
  t.equal(fleet.countQuarantining('rare'), 0);
  t.end();
});

t.test('no second trial follows one that crashed a server, for minutes', (t) => {
  const fleet = createFleet(3);
  fleet.crash(0, 'e1', 'bad');
  fleet.crash(1, 'e2', 'bad');
  fleet.runRounds(4);
  fleet.leader?.tryTrial(['bad']);
  fleet.runRounds(1);
  fleet.crash(2, 'e3', 'bad');
  fleet.runRounds(1000);
  t.equal(fleet.leader?.tryTrial(['bad']), false);
  t.equal(fleet.countQuarantining('bad'), 3);
  t.end();
});

t.test('a trial is not failed by a crash that another part explains', (t) => {
  const fleet = createFleet(3);
  for (const part of ['rare', 'bad']) {
    fleet.crash(0, `e1-${part}`, part);
    fleet.crash(1, `e2-${part}`, part);
  }
  fleet.crash(1, 'e3-bad', 'bad');
  fleet.runRounds(4);
  fleet.leader?.tryTrial(['rare']);
  fleet.crash(2, 'e4', 'rare', 'bad');
  fleet.runRounds(30);
  t.equal(fleet.leader?.tryTrial(['rare']), true);
  t.end();
});

t.test('parts that always come together are told apart by a request with one of them', (t) => {
  const fleet = createFleet(3);
  fleet.crash(0, 'e1', 'bad', 'beside');
  fleet.crash(1, 'e2', 'bad', 'beside');
  fleet.runRounds(4);
  t.equal(fleet.countQuarantining('beside'), 0);
  fleet.serve(1, 'beside');
  fleet.runRounds(1);
  t.equal(fleet.countQuarantining('beside', 'bad'), 3);
  t.equal(fleet.countQuarantining('bad'), 3);
  t.end();
});

t.test('a new leader learns what hosts saw under the last one, and without a leader', (t) => {
  const fleet = createFleet(3);
  fleet.crash(0, 'e1', 'bad');
  fleet.runRounds(2);
  fleet.setLeader(undefined);
  fleet.crash(1, 'e2', 'bad');
  fleet.runRounds(10);
  fleet.setLeader([]);
  fleet.runRounds(4);
  t.equal(fleet.countQuarantining('bad'), 3);
  t.end();
});

t.test('without a leader a host relies on what it saw itself, and on what it was told', (t) => {
  const fleet = createFleet(3);
  fleet.crash(0, 'e1', 'told');
  fleet.crash(1, 'e2', 'told');
  fleet.runRounds(4);
  fleet.setLeader(undefined);
  fleet.crash(0, 'e3', 'seen');
  fleet.crash(0, 'e4', 'seen');
  t.equal(fleet.countQuarantining('told'), 3);
  t.equal(fleet.countQuarantining('seen'), 1);
  t.end();
});

t.test('a leader goes on with the stored groups and their trials', async (t) => {
  const fleet = createFleet(2);
  fleet.crash(0, 'e1', 'bad');
  fleet.crash(1, 'e2', 'bad');
  fleet.runRounds(4);
  fleet.leader?.tryTrial(['bad']);
  fleet.crash(1, 'e3', 'bad');
  fleet.runRounds(1);
  let saved: readonly SavedPartGroup[] = [];
  const write = (groups: readonly SavedPartGroup[]): Promise<boolean> => {
    saved = groups;
    return Promise.resolve(false);
  };
  await fleet.leader?.save(write);
  t.match(saved, [{ parts: ['bad'], crashes: 3, trials: 1, confirmations: 1 }]);
  saved = [];
  await fleet.leader?.save((groups) => write(groups).then(() => true));
  t.equal(saved.length, 1, 'stored again after a failure');
  await fleet.leader?.save(() => Promise.resolve(t.fail('stored without a change')));
  const next = createFleet(2, saved);
  next.runRounds(1);
  t.equal(next.countQuarantining('bad'), 2);
  t.equal(next.leader?.tryTrial(['bad']), false);
});

t.test('messages and memory stay bounded on 195 hosts while engines crash all the time', (t) => {
  const hostCount = 195;
  const fleet = createFleet(hostCount);
  const seconds = 60;
  for (let round = 0; round < seconds * 5; round += 1) {
    for (let host = 0; host < hostCount; host += 10)
      for (let part = 0; part < 20; part += 1)
        fleet.crash(host, `e${round}`, `rare-${round}-${host}-${part}`);
    fleet.runRounds(1);
  }
  const bytesPerHostSecond = fleet.bytesSent / hostCount / seconds;
  // The control traffic of a host is to stay below 22 kB a second.
  t.ok(bytesPerHostSecond < 22_000, `${Math.round(bytesPerHostSecond)} bytes a second and host`);
  const state = fleet.leader?.takeState('another host');
  t.ok((state?.watched.length ?? 0) <= 64);
  t.equal(state?.groups.length, 0);
  t.end();
});

t.test('no trial is needed for what crashed four servers over a second', (t) => {
  const fleet = createFleet(4);
  for (let host = 0; host < 4; host += 1) {
    fleet.crash(host, `e${host}`, 'bad');
    fleet.runRounds(2);
  }
  fleet.runRounds(2);
  t.equal(fleet.leader?.tryTrial(['bad']), false);
  t.end();
});

t.test('a new leader does not count again what hosts report to it again', (t) => {
  const fleet = createFleet(3);
  fleet.crash(0, 'e1', 'rare');
  fleet.runRounds(6);
  fleet.crash(1, 'e2', 'rare');
  fleet.runRounds(4);
  const group = { parts: ['rare'], crashes: 2, trials: 0, confirmations: 0, wasServed: false };
  fleet.setLeader([group]);
  fleet.runRounds(4);
  t.equal(fleet.leader?.takeState('another host')?.groups[0]?.crashes, 2);
  t.equal(fleet.leader?.tryTrial(['rare']), true);
  t.end();
});

t.test('a new leader stores the groups again, as the store may have lost them', async (t) => {
  const saved = [{ parts: ['bad'], crashes: 3, trials: 1, confirmations: 1, wasServed: false }];
  const fleet = createFleet(2, saved);
  let writes = 0;
  const write = (): Promise<boolean> => {
    writes += 1;
    return Promise.resolve(true);
  };
  await fleet.leader?.save(write);
  await fleet.leader?.save(write);
  t.equal(writes, 1, 'once');
  await createFleet(2).leader?.save(write);
  t.equal(writes, 1, 'nothing where there is none');
});
