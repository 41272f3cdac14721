import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

/** Prometheus metrics of a host that serves requests. */
export interface ServingMetrics {
  /** Renders all metrics in the Prometheus text format. */
  render: () => Promise<string>;
  countRequest: (route: string, status: number, reason: string) => void;
  countAttempt: (service: string, outcome: string) => void;
  /** Records the time from the arrival of a request to the first bytes of its response. */
  recordFirstBytes: (route: string, milliseconds: number) => void;
  /** Records the time from the arrival of a request to the end of its response. */
  recordDuration: (route: string, milliseconds: number) => void;
  countStoreCall: (kind: string, isAnswered: boolean) => void;
  countConnection: () => void;
  countOrder: (action: string, outcome: string) => void;
  /** Sets whether this host is the leader. */
  setLeading: (isLeading: boolean) => void;
  /** Sets the source of the evacuated data centres, each with the requests that run there. */
  observeEvacuations: (readRunning: () => ReadonlyMap<string, number>) => void;
  /** Sets the function that counts the cold servers, called with each rendering. */
  setColdServerCounter: (count: () => number) => void;
  /** Sets the function that counts the servers with slow streams, called with each rendering. */
  setSlowServerCounter: (count: () => number) => void;
  /** Counts a request that the admission level of its service refused. */
  countLevelRefusal: (service: string, reason: string, requestClass: string) => void;
  /** Sets the source of the admission levels, the refused part of the work by service. */
  observeLevels: (readLevels: () => ReadonlyMap<string, number>) => void;
  /** Sets the source of the limits of what servers run at once, by server. */
  observeConcurrencyLimits: (
    readLimits: () => ReadonlyMap<string, { requests: number; tokens: number }>,
  ) => void;
  /** Sets the function that counts the requests in the queue of this host, called with each rendering. */
  setQueueCounter: (count: () => number) => void;
  /** Records the time that a request waited in the queue of this host. */
  recordQueueTime: (route: string, milliseconds: number) => void;
  /** Counts a log line that was dropped by the rate limit of the log. */
  countOmittedLogLine: () => void;
  /** Counts a client that exceeded a limit and was rejected or closed. */
  countRejectedClient: (reason: string) => void;
  /** Counts a request that resumes a stream, by what told the software version of it. */
  countResumedStream: (source: string) => void;
  /** Counts records of streams that were written; 0 for a batch that the store did not take. */
  countStreamRecords: (records: number) => void;
}

/** Creates the metrics in a separate Prometheus registry. */
export function createServingMetrics(): ServingMetrics {
  const registry = new Registry();
  const registers = [registry];
  const counter = (name: string, help: string, labelNames: string[]): Counter =>
    new Counter({ name: `bronzelanding_${name}`, help, labelNames, registers });
  const histogram = (name: string, help: string): Histogram =>
    new Histogram({
      name: `bronzelanding_${name}`,
      help,
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
  const requests = counter('requests_total', 'Answers to callers', ['route', 'status', 'reason']);
  const attempts = counter('attempts_total', 'Requests sent to servers', ['service', 'outcome']);
  const storeCalls = counter('store_calls_total', 'Calls of the store', ['kind', 'answered']);
  const connections = counter('backend_connections_total', 'Connections opened to servers', []);
  const orders = counter('orders_total', 'Orders to engines', ['action', 'outcome']);
  const omitted = counter('log_lines_omitted_total', 'Log lines above the limit', []);
  const rejected = counter('clients_rejected_total', 'Clients above a limit', ['reason']);
  const resumed = counter('resumed_streams_total', 'Streams resumed by callers', ['source']);
  const records = counter('stream_records_total', 'Records of streams, or failed batches', [
    'written',
  ]);
  const refusals = counter('level_refusals_total', 'Requests refused by an admission level', [
    'service',
    'reason',
    'class',
  ]);
  const firstBytes = histogram('first_bytes_seconds', 'Arrival to first bytes of the answer');
  const durations = histogram('request_seconds', 'Arrival to the end of the answer');
  const queueTimes = histogram('queue_seconds', 'Wait in the queue of this host');
  const leading = new Gauge({
    name: 'bronzelanding_leading',
    help: 'Whether this host places models',
    registers,
  });
  const createLabelledGauge = (
    label: string,
    name: string,
    help: string,
    readValues: () => Iterable<[string, number]>,
  ): Gauge =>
    new Gauge({
      name: `bronzelanding_${name}`,
      help,
      labelNames: [label],
      registers,
      collect() {
        this.reset();
        for (const [item, value] of readValues()) this.set({ [label]: item }, value);
      },
    });
  let countSlow = (): number => 0;
  new Gauge({
    name: 'bronzelanding_slow_servers',
    help: 'Servers of which most streams pause for longer than their routes accept',
    registers,
    collect() {
      this.set(countSlow());
    },
  });
  let countQueued = (): number => 0;
  new Gauge({
    name: 'bronzelanding_queued_requests',
    help: 'Requests of this host that wait for a server below its limit',
    registers,
    collect() {
      this.set(countQueued());
    },
  });
  let countCold = (): number => 0;
  new Gauge({
    name: 'bronzelanding_cold_servers',
    help: 'Servers that are cold, as this host knows',
    registers,
    collect() {
      this.set(countCold());
    },
  });
  return {
    render: () => registry.metrics(),
    countRequest: (route, status, reason) =>
      requests.inc({ route, status: String(status), reason }),
    countAttempt: (service, outcome) => attempts.inc({ service, outcome }),
    recordFirstBytes: (route, milliseconds) => firstBytes.observe({ route }, milliseconds / 1000),
    recordDuration: (route, milliseconds) => durations.observe({ route }, milliseconds / 1000),
    countStoreCall: (kind, isAnswered) => storeCalls.inc({ kind, answered: String(isAnswered) }),
    countConnection: () => connections.inc(),
    countOrder: (action, outcome) => orders.inc({ action, outcome }),
    setLeading: (isLeading) => leading.set(isLeading ? 1 : 0),
    observeEvacuations: (readRunning) => {
      createLabelledGauge(
        'data_centre',
        'evacuated',
        'Data centres that are evacuated, 1 for each',
        () => [...readRunning().keys()].map((dataCentre) => [dataCentre, 1]),
      );
      createLabelledGauge(
        'data_centre',
        'evacuated_requests_running',
        'Requests of this host that still run in evacuated data centres',
        readRunning,
      );
    },
    setSlowServerCounter: (count) => {
      countSlow = count;
    },
    setColdServerCounter: (count) => {
      countCold = count;
    },
    countLevelRefusal: (service, reason, requestClass) =>
      refusals.inc({ service, reason, class: requestClass }),
    observeLevels: (readLevels) => {
      new Gauge({
        name: 'bronzelanding_admission_level',
        help: 'Part of the work of a service that is refused, as this host knows',
        labelNames: ['service'],
        registers,
        collect() {
          this.reset();
          for (const [service, level] of readLevels()) this.set({ service }, level);
        },
      });
    },
    observeConcurrencyLimits: (readLimits) => {
      createLabelledGauge(
        'server',
        'concurrency_limit_requests',
        'Requests that a server may run at once',
        () => [...readLimits()].map(([server, { requests }]) => [server, requests]),
      );
      createLabelledGauge(
        'server',
        'concurrency_limit_tokens',
        'Tokens of memory that the requests of a server may hold',
        () => [...readLimits()].map(([server, { tokens }]) => [server, tokens]),
      );
    },
    setQueueCounter: (count) => {
      countQueued = count;
    },
    recordQueueTime: (route, milliseconds) => queueTimes.observe({ route }, milliseconds / 1000),
    countOmittedLogLine: () => omitted.inc(),
    countResumedStream: (source) => resumed.inc({ source }),
    countStreamRecords: (count) => records.inc({ written: String(count > 0) }, Math.max(1, count)),
    countRejectedClient: (reason) => rejected.inc({ reason }),
  };
}
