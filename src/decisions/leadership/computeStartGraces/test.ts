import t from 'tap';
import { computeStartGraces } from './index.js';

const DRAWS = Array.from({ length: 195 }, (_, index) => (index * 0.618) % 1);

t.test('a restarted host reads the store within a second', (t) => {
  for (const random of DRAWS) {
    const graces = computeStartGraces({ isFirstStart: false, linkMbps: 14, random });
    t.ok(graces.changesMs < 1000);
    t.ok(graces.leadershipMs < 1000);
  }
  t.end();
});

t.test('a restarted host reads configuration and servers before a leader could feed it', (t) => {
  const roundMs = 200; // the first view comes with the first round after the leader has connected
  for (const random of DRAWS) {
    const graces = computeStartGraces({ isFirstStart: false, linkMbps: 14, random });
    t.ok(graces.changesMs < roundMs);
  }
  t.end();
});

t.test('hosts with fast links run for leader before the others', (t) => {
  for (const isFirstStart of [true, false])
    t.ok(
      computeStartGraces({ isFirstStart, linkMbps: 200, random: 0.99 }).leadershipMs <
        computeStartGraces({ isFirstStart, linkMbps: 14, random: 0 }).leadershipMs,
    );
  t.end();
});

t.test('at the first start few hosts ask who leads before one has been elected', (t) => {
  const electedMs = 700; // the first host reads, waits for its turn, and connects to the others
  const early = DRAWS.filter(
    (random) =>
      computeStartGraces({ isFirstStart: true, linkMbps: 14, random }).leadershipMs < electedMs,
  );
  t.ok(early.length < DRAWS.length / 4, `${early.length} of ${DRAWS.length}`);
  t.end();
});
