import t from 'tap';
import { createListRefresh } from './index.js';

const { signal } = new AbortController();

function openRefresh(ageMs: number, isFailing = false) {
  let reads = 0;
  const refresh = createListRefresh({
    listAge: { getAgeMs: () => ageMs },
    outage: { isFailing: () => isFailing },
    maximumAgeMs: 2000,
    requestRead: () => {
      reads += 1;
    },
  });
  return { ...refresh, countReads: () => reads };
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
  refresh.recordRead();
  await waiting;
});

t.test('a request does not wait longer than a fraction of its latency target', async (t) => {
  t.ok((await measureWaitMs(openRefresh(2500).refresh(signal))) < 200);
});

t.test('a request waits for no read that cannot help it', async (t) => {
  for (const refresh of [openRefresh(1900), openRefresh(Infinity), openRefresh(2500, true)]) {
    await refresh.refresh(signal);
    t.equal(refresh.countReads(), 0);
  }
});
