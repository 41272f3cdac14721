import { isUndisturbed } from './isUndisturbed.js';
import { FaultKind, type SoakRecord, type Violation } from './types.js';

/** Data centre that is evacuated. */
export const EVACUATED_ZONE = 'b';
/** Time within which an evacuation must be in force. */
export const EVACUATE_MS = 5000;
const RESTORED_MS = 3000; // hosts that start after a restore know of the key once it is written again

/** Something that reached a server of the data centre. */
interface Arrival {
  engine: string;
  atMs: number;
  host: string;
  sentAtMs: number;
  what: string;
}

function isExcused({ disturbances }: SoakRecord, { engine, atMs, sentAtMs, host }: Arrival) {
  const isOverlapping = (fromMs: number, toMs: number): boolean =>
    fromMs <= atMs && toMs >= sentAtMs;
  const isHeld = disturbances.some(
    (each) =>
      each.kind === FaultKind.engineLink &&
      each.engine === engine &&
      isOverlapping(each.fromMs, each.toMs),
  );
  const hasStarted = disturbances.some(
    (each) =>
      (each.host ?? host) === host &&
      [FaultKind.kill, FaultKind.killAll, FaultKind.stop, FaultKind.earlySignal].some(
        (kind) => kind === each.kind,
      ) &&
      isOverlapping(each.fromMs, each.toMs + RESTORED_MS),
  );
  const isRestored = disturbances.some(
    ({ kind, fromMs, toMs }) =>
      kind === FaultKind.restore && isOverlapping(fromMs, toMs + RESTORED_MS),
  );
  return isHeld || (hasStarted && isRestored);
}

/** Checks that hosts send nothing to a data centre once its evacuation must be in force, until it is revoked. */
export function checkEvacuations(record: SoakRecord): Violation[] {
  const requestsById = new Map(record.requests.map((request) => [request.id, request]));
  const runs = record.runs.flatMap(({ id, engine, atMs }): Arrival[] => {
    const request = requestsById.get(id);
    if (request === undefined) return [];
    return [{ engine, atMs, host: request.host, sentAtMs: request.sentAtMs, what: id }];
  });
  const orders = record.arrivals.map(({ engine, atMs, holder }) => ({
    ...{ engine, atMs, host: holder, sentAtMs: atMs, what: 'an order' },
  }));
  const evacuated = [...runs, ...orders].filter(({ engine }) =>
    record.evacuatedEngines.includes(engine),
  );
  return record.evacuations.flatMap(({ fromMs, toMs }) => {
    const inForceAtMs = fromMs + EVACUATE_MS;
    // A host that was in contact until then knows of the evacuation, whatever happens later.
    const late = evacuated.filter(
      (arrival) =>
        arrival.atMs > inForceAtMs &&
        arrival.atMs < toMs &&
        isUndisturbed(record, arrival.host, fromMs, inForceAtMs) &&
        !isExcused(record, arrival),
    );
    return late.map(({ what, engine, host, atMs }) => ({
      promise: 'evacuations',
      detail: `${what} of ${host} at ${engine} ${Math.round(atMs - fromMs)} ms after the key`,
    }));
  });
}
