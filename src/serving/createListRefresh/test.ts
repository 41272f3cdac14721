import t from 'tap';
import { createListRefresh } from './index.js';

const { signal } = new AbortController();

function openRefresh(listAgeMs: number, { failingMs = 0, maximumWaitMs = 100 } = {}) {
  let reads = 0;
  let ageMs = listAgeMs;
  const refresh = createListRefresh({
    clock: { monotonicMs: () => performance.now() },
    listAge: { getAgeMs: () => ageMs },
    outage: { getFailingMs: () => failingMs },
    maximumAgeMs: 2000,
    maximumWaitMs,
    requestRead: () => {
      reads += 1;
    },
  });
  return {
    ...refresh,
    countReads: () => reads,
    recordRead: (nextAgeMs: number) => {
      ageMs = nextAgeMs;
      refresh.recordRead();
    },
  };
}

async function measureWaitMs(wait: Promise<void>): Promise<number> {
  const startedAtMs = performance.now();
  await wait;
  return performance.now() - startedAtMs;
}

t.test('a request waits for a list that is too old, until it was read', async (t) => {
  const refresh = openRefresh(2500);
  let hasEnded = false;
  const waiting = refresh.refresh(signal).then(() => {
    hasEnded = true;
  });
  await new Promise((resolve) => setTimeout(resolve, 10));
  t.notOk(hasEnded);
  t.equal(refresh.countReads(), 1);
  refresh.recordRead(5);
  await waiting;
});

t.test('news as old as before the pause of the process does not end the wait', async (t) => {
  const refresh = openRefresh(5000, { maximumWaitMs: 60_000 });
  let hasEnded = false;
  const waiting = refresh.refresh(signal).then(() => {
    hasEnded = true;
  });
  refresh.recordRead(4900);
  await new Promise((resolve) => setTimeout(resolve, 10));
  t.notOk(hasEnded);
  refresh.recordRead(5);
  await waiting;
});

t.test('a call that failed as the process resumed does not count as an outage', async (t) => {
  const refresh = openRefresh(5000, { failingMs: 20, maximumWaitMs: 60_000 });
  const waiting = refresh.refresh(signal);
  t.equal(refresh.countReads(), 1);
  refresh.recordRead(5);
  await waiting;
});

t.test('a request does not wait longer than a fraction of its latency target', async (t) => {
  t.ok((await measureWaitMs(openRefresh(2500).refresh(signal))) < 200);
});

t.test('a request waits for no read that cannot help it', async (t) => {
  const down = { failingMs: 300 };
  for (const refresh of [openRefresh(1900), openRefresh(Infinity), openRefresh(2500, down)]) {
    await refresh.refresh(signal);
    t.equal(refresh.countReads(), 0);
  }
});
