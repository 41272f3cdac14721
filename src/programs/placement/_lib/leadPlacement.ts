import { setTimeout as wait } from 'node:timers/promises';
import { StorageKeys } from '../../../coordination/storageKeys.js';
import type { ControlState } from '../../../coordination/createControlState/index.js';
import type { Leadership } from '../../../coordination/runLeaderElection/index.js';
import { updateValue } from '../../../coordination/updateValue/index.js';
import type { Bundle } from '../../../decisions/bundle/types.js';
import type { Ledger } from '../../../decisions/ledger/types.js';
import { chooseOrders } from '../../../decisions/placement/chooseOrders/index.js';
import { computeReplicaTargets } from '../../../decisions/placement/computeReplicaTargets/index.js';
import type { Demand, PlannedOrder } from '../../../decisions/placement/types.js';
import { formatError } from '../../../errors/index.js';
import type { Clock } from '../../../ports/clock.js';
import { ItemKind, OrderAction, type EngineControl } from '../../../ports/engine.js';
import { HostRole, type ListedHost } from '../../../ports/hostList.js';
import type { KeyValueEntry, KeyValueService } from '../../../ports/keyValueService.js';
import type { Log } from '../../../ports/log.js';
import type { Metrics } from '../../../ports/metrics.js';
import type { PlacementSettings } from '../settings.js';
import { createLoadRateLimiter } from './createLoadRateLimiter.js';
import { createOrderTracker } from './createOrderTracker.js';
import { createReportPoller } from './createReportPoller.js';
import { updateLedger } from '../../../decisions/placement/updateLedger/index.js';

/** Dependencies of the leading placement process. */
export interface LeadPlacementOptions {
  settings: PlacementSettings;
  service: KeyValueService;
  engineControl: EngineControl;
  controlState: ControlState;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  listHosts: () => readonly ListedHost[];
  getDemand: () => Demand;
  leadership: Leadership;
  signal: AbortSignal;
}

const emptyLedger: Ledger = { fencingNumber: 0, engines: {}, audit: [] };
/** Multiple of the maximum order age after which an engine that is no longer listed leaves the ledger. */
const REMOVAL_AGE_FACTOR = 2;

/** Increments the fencing token of the ledger, so that engines refuse orders of previous leaders. */
async function updateFencingNumber(
  options: LeadPlacementOptions,
): Promise<KeyValueEntry | undefined> {
  const { service, leadership } = options;
  const { entry } = await updateValue<Ledger, undefined>(
    service,
    StorageKeys.ledger,
    (ledger = emptyLedger) => ({
      body: { ...ledger, fencingNumber: ledger.fencingNumber + 1 },
      result: undefined,
    }),
    { isWriteAllowed: leadership.isHeld },
  );
  return entry;
}

/** Runs placement rounds as the leader until the signal aborts: updates the ledger and sends orders to engines. */
export async function leadPlacement(options: LeadPlacementOptions): Promise<void> {
  const {
    settings,
    service,
    engineControl,
    controlState,
    clock,
    log,
    metrics,
    leadership,
    signal,
  } = options;
  const orderTracker = createOrderTracker(clock, settings.orderAgeMs);
  const loadRateLimiter = createLoadRateLimiter(clock);
  const poller = createReportPoller(engineControl, clock, settings.reportPollMs);
  const busyEngines = new Set<string>();
  const startedAtMs = clock.monotonicMs();
  let cachedEntry = await updateFencingNumber(options);

  const isReachable = (engine: string): boolean => {
    const sinceStartMs = clock.monotonicMs() - startedAtMs;
    return Math.min(poller.getReportAgeMs(engine), sinceStartMs) < settings.unreachableMs;
  };
  const isRemovable = (engine: string): boolean => {
    const sinceStartMs = clock.monotonicMs() - startedAtMs;
    return (
      Math.min(poller.getReportAgeMs(engine), sinceStartMs) >
      REMOVAL_AGE_FACTOR * settings.orderAgeMs
    );
  };

  const writeLedger = async (bundle: Bundle, engines: readonly ListedHost[]): Promise<Ledger> => {
    const placementEngines = engines.map(
      ({ id, service: name = '', leaving, memoryBytes = 0 }) => ({
        id,
        service: name,
        leaving,
        memoryBytes,
      }),
    );
    const targets = computeReplicaTargets(bundle, options.getDemand(), placementEngines);
    const update = await updateValue<Ledger, undefined>(
      service,
      StorageKeys.ledger,
      (ledger = emptyLedger) => {
        const next = updateLedger(
          {
            bundle,
            engines,
            reports: poller.getReports(),
            targets,
            isReachable,
            isRemovable,
            hasNoPendingLoad: ({ id, checksFencing = false }, item, report) =>
              orderTracker.hasNoPendingLoad(id, item, report, checksFencing),
            host: settings.hostId,
            atMs: clock.wallMs(),
          },
          ledger,
        );
        return next === ledger ? { result: undefined } : { body: next, result: undefined };
      },
      { cachedEntry, isWriteAllowed: leadership.isHeld },
    );
    cachedEntry = update.entry;
    return update.body ?? emptyLedger;
  };

  const sendOrders = async (engine: ListedHost, orders: readonly PlannedOrder[]): Promise<void> => {
    const origin = `http://${engine.address}:${engine.port}`;
    for (const { order } of orders) {
      // The process may have been paused and lost its leadership since the orders were planned.
      if (!leadership.isHeld()) return;
      orderTracker.recordSent(engine.id, order);
      try {
        const reply = await engineControl.sendOrder(origin, order);
        if (reply.accepted) orderTracker.recordAccepted(engine.id, order, reply.engineClockMs);
        else orderTracker.recordRefused(engine.id, order);
        if (!reply.accepted)
          log.warn({ engine: engine.id, order, reason: reply.reason }, 'order refused');
      } catch (error) {
        log.warn(
          { engine: engine.id, order, error: formatError(error) },
          'order unanswered; the engine may have received it',
        );
      }
      metrics.increment('orders', 1, { action: order.action, kind: order.kind });
    }
  };

  const startOrders = (bundle: Bundle, ledger: Ledger, engines: readonly ListedHost[]): void => {
    const reports = poller.getReports();
    const loadsInFlight = orderTracker.countLoadsInFlight(ledger, reports);
    const { loadsAtOnce, loadsPerSecond, adaptersInFlight } = bundle.limits;
    const listed = new Map(engines.map((engine) => [engine.id, engine]));
    const orders = chooseOrders(ledger, {
      modelLoads: Math.min(
        loadRateLimiter.count(loadsPerSecond),
        Math.max(0, loadsAtOnce - loadsInFlight[ItemKind.model]),
      ),
      adapterLoads: Math.max(0, adaptersInFlight - loadsInFlight[ItemKind.adapter]),
      isInFlight: (engine, item) =>
        busyEngines.has(engine) ||
        !listed.has(engine) ||
        !isReachable(engine) ||
        orderTracker.isInFlight(engine, item, reports.get(engine)),
    });
    const isModelLoad = ({ order }: PlannedOrder): boolean =>
      order.action === OrderAction.load && order.kind === ItemKind.model;
    loadRateLimiter.take(orders.filter(isModelLoad).length);
    for (const [id, engine] of listed) {
      const engineOrders = orders.filter((planned) => planned.engine === id);
      if (engineOrders.length === 0) continue;
      busyEngines.add(id);
      void sendOrders(engine, engineOrders).finally(() => busyEngines.delete(id));
    }
  };

  while (!signal.aborted) {
    try {
      const bundle = controlState.get().accepted?.bundle;
      const engines = options.listHosts().filter(({ role }) => role === HostRole.engine);
      poller.setEngines(engines);
      if (bundle !== undefined) {
        const ledger = await writeLedger(bundle, engines);
        if (leadership.isHeld()) startOrders(bundle, ledger, engines);
      }
    } catch (error) {
      log.warn({ error: formatError(error) }, 'placement round failed');
      cachedEntry = undefined;
    }
    await wait(settings.roundMs, undefined, { signal }).catch(() => undefined);
  }
  await poller.stop();
}
