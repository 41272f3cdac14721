import type { SoakProcess, SoakRecord, Violation } from './types.js';

const MAX_MB = 210; // memory of the smallest hosts
const EARLY_MS = 1000; // a stop until then comes while the process starts

function isExplained({ exit, signals, handlesFromMs }: SoakProcess): boolean {
  const stop = signals.find(({ signal }) => signal === 'SIGTERM' || signal === 'SIGINT');
  const isEarly =
    stop !== undefined && stop.atMs > handlesFromMs && stop.atMs < handlesFromMs + EARLY_MS;
  if (exit === undefined) return handlesFromMs < Infinity;
  if (exit === 0) return stop !== undefined;
  if (exit === 'SIGKILL') return signals.some(({ signal }) => signal === exit) && !isEarly;
  // No program handles a signal that comes while Node.js itself starts.
  return signals.some(({ signal, atMs }) => signal === exit && atMs < handlesFromMs);
}

/** Checks that processes handle signals first, end only by a kill or, with status 0, by a stop, and fit into their memory. */
export function checkProcesses({ processes }: SoakRecord): Violation[] {
  const found = processes.filter(
    (each) => !isExplained(each) || each.isFirst === false || (each.peakMb ?? 0) > MAX_MB,
  );
  return found.map(({ host, exit = 'none', signals, handlesFromMs, isFirst, peakMb = 0 }) => {
    const sent = signals.map(
      ({ signal, atMs }) => `${signal} at ${Math.round(atMs - handlesFromMs)} ms`,
    );
    const order = isFirst === false ? ', handlers after other modules' : '';
    return {
      promise: 'processes',
      detail: `${host}: exit ${exit} (${sent.join()})${order}, ${Math.round(peakMb)} MB`,
    };
  });
}
