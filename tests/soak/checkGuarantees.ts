import { LIMITED_BURST, LIMITED_RATE, SoakOrganisation } from './buildSoakConfiguration.js';
import {
  FaultKind,
  type SoakRecord,
  type SoakRequest,
  type SoakRun,
  type Violation,
} from './types.js';

const EVENTS = 8; // of each stream of a stand-in engine
const CONTACT_MS = 3000; // a host is in touch when it was calm for so long
const APPLY_MS = 2000; // bound for a new version
const DRAIN_MS = 2000; // bound for an engine that leaves
const ROLLBACK_MS = 250; // slack in which a host may still use the version before
const LEFT_MS = 500; // nothing reaches an engine later after its caller has left
const LEFT_ALLOWED = 3;
const LEASE_MS = 3000; // two holders of the command don't take turns within it
const QUOTA_WINDOW_MS = 8000;
const QUOTA_OVERAGE = 0.1;
const QUOTA_SLACK = 110_000; // tokens
const RECOVERED_SHARE = 0.25;
const ADAPTER_PLACES = 2;
const LEAST_USEFUL_MS = 2900; // beyond it the caller's deadline may have ended the answer
/** Statuses that promise that the request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function isOnce({ route }: SoakRequest): boolean {
  return route === '/chat/' || route === '/certs/';
}

function isStream({ route }: SoakRequest): boolean {
  return route === '/chat/' || route === '/plan/';
}

/** Tells whether nothing disturbed a host, the store or all hosts from contact time before a moment. */
function isCalm(record: SoakRecord, host: string, fromMs: number, toMs = fromMs): boolean {
  return !record.disturbances.some(
    ({ host: hit, kind, ...span }) =>
      (hit === undefined || hit === host) &&
      !kind.startsWith('engine') &&
      span.fromMs <= toMs &&
      span.toMs >= fromMs - CONTACT_MS,
  );
}

function collectRuns(runs: readonly SoakRun[]): Map<string, SoakRun[]> {
  const byId = new Map<string, SoakRun[]>();
  for (const run of runs) byId.set(run.id, [...(byId.get(run.id) ?? []), run]);
  return byId;
}

/** Checks one request against the runs that bear its id. */
function checkRequest(request: SoakRequest, runs: readonly SoakRun[]): Violation[] {
  const found: Violation[] = [];
  const add = (promise: string, detail: string): void => {
    found.push({ promise, detail: `${request.id} ${request.route} at ${request.host}: ${detail}` });
  };
  if (isOnce(request) && runs.length > 1) add('at most once', `${runs.length} runs`);
  if (isOnce(request) && PROMISES.has(request.status) && runs.length > 0)
    add('true refusals', `status ${request.status}, but it ran at ${runs[0]?.engine ?? ''}`);
  for (const run of runs) {
    if (run.organisation !== request.organisation)
      add('organisations', `ran for ${run.organisation}, not ${request.organisation}`);
    if (run.target !== `${request.route}x`) add('unchanged requests', `ran as ${run.target}`);
  }
  if (request.status !== 200) return found;
  if (!request.hasSeal) add('whole answers', 'a success without a signature');
  if (isStream(request)) checkStream(request, add);
  else if (request.isWhole && !runs.some(({ engine }) => isAnswerOf(request, engine)))
    add('whole answers', `body ${JSON.stringify(request.body.slice(0, 80))}`);
  return found;
}

function isAnswerOf({ id, body }: SoakRequest, engine: string): boolean {
  return body === `answer to ${id} by ${engine}`;
}

/** Checks that the events of a stream come once each, in order, and all of them if it looks whole. */
function checkStream(request: SoakRequest, add: (promise: string, detail: string) => void): void {
  const blocks = request.body.split('\n\n');
  const rest = blocks.pop() ?? '';
  blocks.forEach((block, index) => {
    const wanted = `id: ${index + 1}\ndata: piece ${index + 1}`;
    if (block !== wanted) add('streams in order', `event ${JSON.stringify(block)} at ${index + 1}`);
  });
  if (!request.isWhole) return;
  if (blocks.length !== EVENTS || rest !== '')
    add('whole streams', `ended as whole after ${blocks.length} events`);
}

/** Checks that versions come into force in time, and that no process goes back to an older one. */
function checkVersions(record: SoakRecord): Violation[] {
  const found: Violation[] = [];
  const newest = new Map<string, { version: number; atMs: number }>();
  const probes = record.requests
    .filter(({ version }) => version !== undefined)
    .sort((one, other) => one.sentAtMs - other.sentAtMs);
  for (const probe of probes) {
    const { version = 0, host, sentAtMs, endedAtMs, status } = probe;
    const next = record.versions.find((item) => item.version > version);
    const own = record.versions.find((item) => item.version === version);
    const isInTouch = isCalm(record, host, sentAtMs, endedAtMs);
    const detail = `${probe.id} for version ${version} at ${host}: status ${status}`;
    const isOver = next !== undefined && sentAtMs > next.atMs + APPLY_MS;
    const isDue = own !== undefined && sentAtMs > own.atMs + APPLY_MS;
    if (isInTouch && isOver && status === 200) found.push({ promise: 'versions in time', detail });
    const isCurrent = next === undefined || endedAtMs < next.atMs;
    if (isInTouch && isDue && isCurrent && (status === 404 || status === 401))
      found.push({ promise: 'versions in time', detail });
    if (status !== 200) continue;
    const process = `${host}/${probe.incarnation}`;
    const best = newest.get(process);
    if (best !== undefined && best.version > version && sentAtMs > best.atMs + ROLLBACK_MS)
      found.push({ promise: 'no version goes back', detail: `${detail} after ${best.version}` });
    if (best === undefined || best.version < version)
      newest.set(process, { version, atMs: endedAtMs });
  }
  return found;
}

/** Checks that one host at a time orders. */
function checkHolders(record: SoakRecord): Violation[] {
  const found: Violation[] = [];
  const last = new Map<string, SoakRecord['arrivals'][number]>();
  const holders = new Map<number, string>();
  for (const order of record.arrivals) {
    const { engine, holder, fence, atMs } = order;
    const before = last.get(engine);
    last.set(engine, order);
    const detail = `${engine}: ${holder}/${fence} after ${before?.holder ?? ''}/${before?.fence ?? 0}`;
    if ((holders.get(fence) ?? holder) !== holder) found.push({ promise: 'one holder', detail });
    holders.set(fence, holder);
    if (before === undefined) continue;
    if (fence < before.fence) found.push({ promise: 'fences rise', detail });
    const pauseMs = Math.round(atMs - before.atMs);
    if (before.holder !== holder && pauseMs < LEASE_MS)
      found.push({ promise: 'handover', detail: `${detail} in ${pauseMs} ms` });
  }
  return found;
}

/** Checks that no order overfills an engine. */
function checkPlaces({ orders }: SoakRecord): Violation[] {
  const overfull = orders.filter(({ action, model, adapter, held }) => {
    if (action !== 'load' || adapter === undefined) return false;
    const adapters = held.reduce((sum, { adapters: names }) => sum + names.length, 0);
    const isHeld = held.some(
      ({ name, adapters: names }) => name === model && names.includes(adapter),
    );
    return !isHeld && adapters >= ADAPTER_PLACES;
  });
  return overfull.map(({ engine, model, adapter }) => ({
    promise: 'places for adapters',
    detail: `${model}/${adapter ?? ''} at ${engine}`,
  }));
}

function checkDepartures(record: SoakRecord, sent: ReadonlyMap<string, SoakRequest>): Violation[] {
  const late = record.runs.filter(({ engine, atMs, id }) =>
    record.departures.some(
      (departure) =>
        departure.engine === engine &&
        atMs > departure.fromMs + DRAIN_MS &&
        atMs < departure.toMs &&
        isCalm(record, sent.get(id)?.host ?? '', departure.fromMs, atMs),
    ),
  );
  return late.map(({ id, engine }) => ({
    promise: 'leaving engines',
    detail: `${id} at ${engine}`,
  }));
}

function checkQuota(record: SoakRecord): Violation[] {
  const runs = record.runs.filter(({ organisation }) => organisation === SoakOrganisation.limited);
  const allowed =
    ((LIMITED_RATE * QUOTA_WINDOW_MS) / 1000 + LIMITED_BURST) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK;
  let first = 0;
  let tokens = 0;
  let most = 0;
  for (const run of runs) {
    tokens += run.tokens;
    for (; (runs[first]?.atMs ?? 0) < run.atMs - QUOTA_WINDOW_MS; first += 1)
      tokens -= runs[first]?.tokens ?? 0;
    most = Math.max(most, tokens);
  }
  return most > allowed ? [{ promise: 'rates', detail: `${most} tokens, ${allowed} allowed` }] : [];
}

function checkLeft(record: SoakRecord, runsById: ReadonlyMap<string, SoakRun[]>): Violation[] {
  const late = record.requests.filter(
    ({ id, leftAtMs, host }) =>
      leftAtMs !== undefined &&
      isCalm(record, host, leftAtMs, leftAtMs + LEFT_MS) &&
      (runsById.get(id) ?? []).some(({ atMs }) => atMs > leftAtMs + LEFT_MS),
  );
  if (late.length <= LEFT_ALLOWED) return [];
  return [
    { promise: 'callers that left', detail: `${late.length} sent on, first ${late[0]?.id ?? ''}` },
  ];
}

/** Checks that a planned stop, with nothing else going on, cuts no request that ran. */
function checkStops(record: SoakRecord, runsById: ReadonlyMap<string, SoakRun[]>): Violation[] {
  const isOnlyStop = (request: SoakRequest): boolean =>
    record.disturbances.every(
      ({ kind, host, fromMs, toMs }) =>
        (kind === FaultKind.stop && host === request.host) ||
        fromMs > request.endedAtMs ||
        toMs < request.sentAtMs - CONTACT_MS,
    );
  const cut = record.requests.filter(
    (request) =>
      request.leftAtMs === undefined &&
      !request.isWhole &&
      request.endedAtMs - request.sentAtMs < LEAST_USEFUL_MS &&
      runsById.has(request.id) &&
      record.stops.some(
        ({ host, incarnation, fromMs }) =>
          host === request.host &&
          incarnation === request.incarnation &&
          request.endedAtMs > fromMs,
      ) &&
      isOnlyStop(request),
  );
  return cut.map(({ id, host }) => ({ promise: 'planned stops', detail: `${id} cut at ${host}` }));
}

function checkRecovery(record: SoakRecord, recoveryMs: number): Violation[] {
  const sent = record.requests.filter(
    ({ sentAtMs, version, leftAtMs, organisation }) =>
      sentAtMs > record.calmFromMs + recoveryMs &&
      version === undefined &&
      leftAtMs === undefined &&
      organisation === SoakOrganisation.depots,
  );
  const routes = [...new Set(sent.map(({ route }) => route))];
  return routes.flatMap((route) => {
    const own = sent.filter((request) => request.route === route);
    const served = own.filter(({ status, isWhole }) => status === 200 && isWhole);
    if (served.length >= RECOVERED_SHARE * own.length) return [];
    return [{ promise: 'recovery', detail: `${route}: ${served.length} of ${own.length} served` }];
  });
}

/** Checks what callers and backend servers saw against the promises. */
export function checkGuarantees(record: SoakRecord, recoveryMs: number): Violation[] {
  const sent = new Map(record.requests.map((request) => [request.id, request]));
  const runsById = collectRuns(record.runs);
  const unasked = record.runs.filter(({ id }) => !sent.has(id));
  return [
    ...unasked.map(({ id, engine }) => ({
      promise: 'asked requests',
      detail: `${id} at ${engine}`,
    })),
    ...record.requests.flatMap((request) => checkRequest(request, runsById.get(request.id) ?? [])),
    ...checkVersions(record),
    ...checkHolders(record),
    ...checkPlaces(record),
    ...checkDepartures(record, sent),
    ...checkQuota(record),
    ...checkLeft(record, runsById),
    ...checkStops(record, runsById),
    ...checkRecovery(record, recoveryMs),
  ];
}
