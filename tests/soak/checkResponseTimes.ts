import { isUndisturbed } from './isUndisturbed.js';
import { FaultKind, type SoakRecord, type SoakRequest, type Violation } from './types.js';

const TIMEOUT_MS = 3000; // timeout_ms of each route
const GRACE_MS = 500;
const MIN_LATE = 4; // of all hosts; a busy machine delays single responses

function isUnansweredAt(request: SoakRequest, afterMs: number): boolean {
  const { sentAtMs, endedAtMs, answeredAtMs = endedAtMs } = request;
  return answeredAtMs > sentAtMs + afterMs;
}

/**
 * Checks that at most half of the requests without a response at their timeout have none half a second later,
 * at hosts in contact, also while engines leave orders unanswered.
 */
export function checkResponseTimes(record: SoakRecord): Violation[] {
  const disturbances = record.disturbances.filter(({ kind }) => kind !== FaultKind.lateOrders);
  const slow = record.requests.filter(
    (request) =>
      isUnansweredAt(request, TIMEOUT_MS) &&
      isUndisturbed(
        { ...record, disturbances },
        request.host,
        request.sentAtMs,
        request.sentAtMs + TIMEOUT_MS + GRACE_MS,
      ),
  );
  const late = slow.filter((request) => isUnansweredAt(request, TIMEOUT_MS + GRACE_MS));
  if (late.length < MIN_LATE || 2 * late.length <= slow.length) return [];
  const first = late.slice(0, 5).map(({ id, route, host }) => `${id} ${route} at ${host}`);
  return [
    { promise: 'answers in time', detail: `${late.length} of ${slow.length}: ${first.join(', ')}` },
  ];
}
