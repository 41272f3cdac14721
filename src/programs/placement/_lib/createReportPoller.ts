import { setTimeout as wait } from 'node:timers/promises';
import type { Clock } from '../../../ports/clock.js';
import type { EngineControl, EngineReport } from '../../../ports/engine.js';
import type { ListedHost } from '../../../ports/hostList.js';

/** Polls the reports of all listed engines, with one task per engine. */
export interface ReportPoller {
  /** Sets the engines to poll. */
  setEngines: (engines: readonly ListedHost[]) => void;
  /** Returns the last report of each engine. */
  getReports: () => ReadonlyMap<string, EngineReport>;
  /** Returns the milliseconds since an engine's last report; infinite when there is none. */
  getReportAgeMs: (engine: string) => number;
  stop: () => Promise<void>;
}

interface PollTask {
  origin: string;
  stop: AbortController;
  done: Promise<void>;
}

/** Creates a poller that polls no engines until they are set. */
export function createReportPoller(
  control: EngineControl,
  clock: Clock,
  pollMs: number,
): ReportPoller {
  const tasks = new Map<string, PollTask>();
  const reports = new Map<string, EngineReport>();
  const receivedAtMs = new Map<string, number>();

  const pollEngine = async (engine: string, origin: string, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      try {
        const report = await control.readReport(origin);
        const before = reports.get(engine);
        const isNotOlder =
          before?.incarnation !== report.incarnation || report.asOfMs >= before.asOfMs;
        if (isNotOlder) reports.set(engine, report);
        receivedAtMs.set(engine, clock.monotonicMs());
      } catch {
        // The growing age of the last report shows that the engine is unreachable.
      }
      await wait(pollMs, undefined, { signal }).catch(() => undefined);
    }
  };

  return {
    setEngines: (engines) => {
      const wanted = new Map(
        engines.map((host) => [host.id, `http://${host.address}:${host.port}`]),
      );
      for (const [engine, task] of tasks)
        if (wanted.get(engine) !== task.origin) {
          task.stop.abort();
          tasks.delete(engine);
        }
      for (const [engine, origin] of wanted) {
        if (tasks.has(engine)) continue;
        const stop = new AbortController();
        tasks.set(engine, { origin, stop, done: pollEngine(engine, origin, stop.signal) });
      }
    },
    getReports: () => reports,
    getReportAgeMs: (engine) => clock.monotonicMs() - (receivedAtMs.get(engine) ?? -Infinity),
    stop: async () => {
      const running = [...tasks.values()];
      tasks.clear();
      for (const { stop } of running) stop.abort();
      await Promise.all(running.map(({ done }) => done));
    },
  };
}
