import t from 'tap';
import { computeGrantDelayMs, type OrderQueueState } from './index.js';

const USUAL_MS = 20;
const CALLER_WAIT_MS = 700;
const UNANSWERED_MS = 1250; // time-out of the order and refresh of the engine's state

t.test('a queue takes the usual time of each order', (t) => {
  t.equal(computeGrantDelayMs({ waiting: 0, runningMs: undefined, usualMs: USUAL_MS }), 20);
  t.equal(computeGrantDelayMs({ waiting: 4, runningMs: 5, usualMs: USUAL_MS }), 115);
  t.equal(computeGrantDelayMs({ waiting: 0, runningMs: 30, usualMs: USUAL_MS }), 20);
  t.end();
});

t.test('an order that takes much longer than usual holds up the queue', (t) => {
  t.equal(computeGrantDelayMs({ waiting: 0, runningMs: 200, usualMs: USUAL_MS }), Infinity);
  t.equal(computeGrantDelayMs({ waiting: 0, runningMs: 200, usualMs: 190 }), 190);
  t.end();
});

/**
 * Replays 30 requests a second for 10 s at one engine that leaves every second order unanswered;
 * returns the share of callers that got a grant or a rejection while they waited.
 */
function replayRequests(computeDelayMs: (state: OrderQueueState) => number): number {
  const orders: { startMs: number; endMs: number }[] = [];
  let inTime = 0;
  const requests = 300;
  for (let index = 0; index < requests; index += 1) {
    const atMs = (index * 1000) / 30;
    const waiting = orders.filter(({ startMs }) => startMs > atMs).length;
    const running = orders.find(({ startMs, endMs }) => startMs <= atMs && endMs > atMs);
    const runningMs = running === undefined ? undefined : atMs - running.startMs;
    if (computeDelayMs({ waiting, runningMs, usualMs: USUAL_MS }) > CALLER_WAIT_MS) {
      inTime += 1;
      continue;
    }
    const startMs = Math.max(atMs, orders[orders.length - 1]?.endMs ?? 0);
    const endMs = startMs + (orders.length % 2 === 0 ? USUAL_MS : UNANSWERED_MS);
    orders.push({ startMs, endMs });
    if (endMs - atMs <= CALLER_WAIT_MS) inTime += 1;
  }
  return inTime / requests;
}

t.test('answers callers in time while an engine leaves orders unanswered', (t) => {
  const before = replayRequests(() => 0);
  const after = replayRequests(computeGrantDelayMs);
  t.ok(before < 0.1 && after > 0.8, `${after}, with a queue without a bound ${before}`);
  t.end();
});
