import { computePercentiles } from '#dist/load/summariseRun/index.js';
import { formatTable } from '#dist/programs/operator/_lib/output.js';
import { measureBodyCost, type BodyCostRow } from './bodyCost.js';
import { measureControlCost, type ControlRow } from './controlCost.js';
import { measureRequestPathCost, type RequestPathCost } from './requestPathCost.js';
import { measurePlacement, type PlacementRow } from './placement.js';
import { measureWrongfulRefusals, type WrongfulRefusalRow } from './wrongfulRefusals.js';

/** One benchmark. */
export interface Benchmark {
  title: string;
  /** Measures, and returns the figures and their rendered table. */
  run: () => Promise<{ figures: unknown; text: string }>;
}

function buildBenchmark<Figures>(
  title: string,
  measure: () => Figures | Promise<Figures>,
  render: (figures: Figures) => string,
): Benchmark {
  const run = async () => {
    const figures = await measure();
    return { figures, text: render(figures) };
  };
  return { title, run };
}

const toPercent = (ratio: number): string => `${(100 * ratio).toFixed(2)} %`;

function renderWrongfulRefusals(rows: WrongfulRefusalRow[]): string {
  return formatTable(
    ['SCENARIO', 'IDEAL TOKENS', 'LENDING', 'STATIC SPLIT', 'WORST EXCESS'],
    rows.map(({ scenario, idealTokens, lending, staticSplit, excess }) => [
      scenario,
      String(idealTokens),
      toPercent(lending),
      toPercent(staticSplit),
      excess.toFixed(0),
    ]),
  );
}

function renderPlacement(rows: PlacementRow[]): string {
  return formatTable(
    [
      'SIZE',
      'FIRST PLAN',
      'QUIET PLAN',
      'ONE MODEL CHANGED',
      'MOVED / NEEDED',
      'UNREACHABLE',
      'HEAP',
      'LEDGER',
    ],
    rows.map((row) => [
      row.size,
      `${row.firstPlanMs.toFixed(1)} ms`,
      `${row.quietPlanMs.toFixed(1)} ms`,
      `${row.changedPlanMs.toFixed(1)} ms`,
      `${row.movedItems} / ${row.neededItems}`,
      String(row.unreachable),
      `${row.heapMegabytes.toFixed(0)} MB`,
      `${row.ledgerKilobytes.toFixed(0)} kB`,
    ]),
  );
}

function renderRequestPathCost({
  rows,
  throughputRatio,
  microsecondsPerToken,
  loanAddedP99Ms,
}: RequestPathCost): string {
  const table = formatTable(
    ['PATH', 'REQUESTS/S', 'P50', 'P99', 'CPU'],
    rows.map(({ path, requestsPerSecond, latency, cpuMicroseconds }) => [
      path,
      requestsPerSecond.toFixed(0),
      `${latency.p50.toFixed(2)} ms`,
      `${latency.p99.toFixed(2)} ms`,
      `${cpuMicroseconds.toFixed(0)} us`,
    ]),
  );
  return `${table}\nthroughput ratio ${throughputRatio.toFixed(2)}; ${microsecondsPerToken.toFixed(1)} us of processor time per token event; a loan adds ${loanAddedP99Ms.toFixed(1)} ms at p99`;
}

function renderControlCost(rows: ControlRow[]): string {
  return formatTable(
    [
      'HOSTS',
      'ORGANISATIONS',
      'MODELS',
      'CPU',
      'RESIDENT',
      'PEER BYTES SENT',
      'READS',
      'WRITES',
      'WATCHES',
    ],
    rows.map((row) => [
      String(row.hosts),
      String(row.organisations),
      String(row.models),
      `${row.cpuPercent.toFixed(2)} %`,
      `${row.residentMegabytes.toFixed(0)} MB`,
      `${row.peerKilobytes.toFixed(2)} kB/s`,
      `${row.readsPerSecond.toFixed(1)}/s`,
      `${row.writesPerSecond.toFixed(1)}/s`,
      String(row.standingWatches),
    ]),
  );
}

function renderBodyCost(rows: BodyCostRow[]): string {
  return formatTable(
    ['BUILD', 'BODY', 'MEDIAN CPU', 'CPU OF EACH ROUND'],
    rows.map(({ build, bodyBytes, cpuMicroseconds }) => [
      build,
      `${bodyBytes} bytes`,
      `${computePercentiles(cpuMicroseconds).p50.toFixed(0)} us`,
      cpuMicroseconds.map((microseconds) => microseconds.toFixed(0)).join(' '),
    ]),
  );
}

/** All benchmarks by the name that selects them on the command line. */
export const benchmarks: Record<string, Benchmark> = {
  wrongful: buildBenchmark(
    '1. Wrongful refusals: admitted tokens relative to one ideal token bucket, 8 hosts',
    measureWrongfulRefusals,
    renderWrongfulRefusals,
  ),
  placement: buildBenchmark('3. Placement', measurePlacement, renderPlacement),
  path: buildBenchmark(
    '4. Cost of the request path',
    measureRequestPathCost,
    renderRequestPathCost,
  ),
  control: buildBenchmark(
    '5. Control cost without traffic, per entry host',
    measureControlCost,
    renderControlCost,
  ),
  bodies: buildBenchmark(
    '6. Processor time of an entry host for requests with bodies',
    measureBodyCost,
    renderBodyCost,
  ),
};
