import { setTimeout as wait } from 'node:timers/promises';
import { isFeedCurrent } from '../../decisions/command/isFeedCurrent/index.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import { RUSH_PART } from '../createFleetBuckets/index.js';
import { createFleetLink, type FleetConnection } from '../createFleetLink/index.js';
import type { FleetLevelsMessage, FleetMessage, FleetReport, FleetView } from '../fleetMessages.js';
import { leadFleet, type FleetLead } from '../leadFleet/index.js';
import { StoreWatch, type FleetPart, type FleetPartOptions } from './types.js';
import { computeOthers } from './_lib/computeOthers.js';
import { createWishes } from './_lib/createWishes.js';
import { createWorkBook, encodeLoads } from './_lib/createWorkBook.js';

const ROUND_MS = 200; // figures older than that misplace a burst; see docs/platform.md
const RUSH_MS = 40; // a hot organisation spends a few percent of its burst meanwhile
const RUSH_HOST_MS = 5; // each message to a host takes some of the time of a small host
const VIEW_FRESH_MS = 1500; // several rounds; later nobody is taken to place models
const FED_FRESH_MS = 700; // three rounds; then this host watches the store itself
const ORDER_MS = 700; // a plan, its announcement and the order
const MODEL_POLL_MS = 40; // below the shortest objective by far

/** Creates a host's part in the fleet. */
export function createFleetPart(options: FleetPartOptions): FleetPart {
  const { clock, log, book, rates, repeats, host } = options;
  let lead: FleetLead | undefined;
  let configuration: ServingConfiguration | undefined;
  let configurationValue: Buffer | undefined;
  let servers: ReadonlyMap<string, BackendServer> = new Map();
  let viewAtMs = -Infinity;
  let isHolderCurrent = false;
  /** Models that some engine is loading, and since when this host knows. */
  const loadingSinceMs = new Map<string, number>();
  const answersAtMs = new Map<StoreWatch, number>();
  /** Watches of the store that go on once nobody feeds this host. */
  const unfedWaiters: (() => void)[] = [];
  let listed: readonly string[] = [];
  /** When each host that is listed no more was listed last. */
  const listedAtMs = new Map<string, number>();
  const work = createWorkBook();
  const connections = new Map<string, FleetConnection>();
  const wishes = createWishes((message) => link.sendToHolder(message));

  const buildReport = (): FleetReport => ({
    type: 'report',
    host,
    incarnation: options.incarnation,
    version: configuration?.version ?? 0,
    loads: encodeLoads(book.getOwnLoads()),
    admitted: Object.fromEntries(rates.getAdmitted()),
    shares: Object.fromEntries(rates.getShares()),
    demand: work.takeDemand(),
    inUse: work.listUsed(),
    silent: book.listSilent(),
  });

  const applyView = (view: FleetView): void => {
    viewAtMs = clock.monotonicMs();
    book.setOthers(computeOthers(view));
    book.setAdapters(
      new Map(Object.entries(view.adapters).map(([server, list]) => [server, new Set(list)])),
    );
    book.setLeavingModels(new Set(view.leavingModels));
    book.setSuspects(new Set(view.suspects));
    for (const key of loadingSinceMs.keys())
      if (!view.loadingModels.includes(key)) loadingSinceMs.delete(key);
    for (const key of view.loadingModels)
      if (!loadingSinceMs.has(key)) loadingSinceMs.set(key, viewAtMs);
    if (lead === undefined) {
      isHolderCurrent = view.isCurrent;
      if (view.servers.length + view.removed.length > 0)
        options.onServers(view.servers, view.removed);
    }
    repeats.setShare(view.hosts);
    applyLevels(view);
    rates.setHosts(view.hosts);
  };

  const passConfiguration = (connection: FleetConnection): void => {
    if (configurationValue !== undefined)
      connection.send({ type: 'configuration', value: Buffer.from(configurationValue) });
  };

  const answerWish = async (
    message: Extract<FleetMessage, { type: 'wish' }>,
    connection: FleetConnection,
  ): Promise<void> => {
    const grant = await lead?.grantAdapter(message);
    connection.send({
      type: 'grant',
      id: message.id,
      server: grant?.server,
      readyInMs: grant?.readyInMs ?? 0,
    });
  };

  const handleHostMessage = (message: FleetMessage, connection: FleetConnection): void => {
    if (message.type === 'report') {
      lead?.recordReport(message);
      planRush();
      if (message.version > (configuration?.version ?? 0))
        connection.send({ type: 'configurationRequest' });
    } else if (message.type === 'admissions') {
      lead?.recordAdmissions(message);
      planRush();
    } else if (message.type === 'wish') void answerWish(message, connection);
    else if (message.type === 'configurationRequest') passConfiguration(connection);
    else if (message.type === 'configuration') options.onConfiguration(message.value);
  };

  const handleHolderMessage = (message: FleetMessage, connection: FleetConnection): void => {
    if (message.type === 'view') {
      applyView(message);
      if (message.version > (configuration?.version ?? 0))
        connection.send({ type: 'configurationRequest' });
    } else if (message.type === 'levels') applyLevels(message);
    else if (message.type === 'grant') wishes.settle(message);
    else if (message.type === 'configurationRequest') passConfiguration(connection);
    else if (message.type === 'configuration') options.onConfiguration(message.value);
  };

  const link = createFleetLink({
    self: host,
    log,
    onHostMessage: (_, message, connection) => handleHostMessage(message, connection),
    onHostConnected: (name, connection) => {
      lead?.dropHost(name);
      connections.set(name, connection);
    },
    onHostLost: (name) => connections.delete(name),
    onHolderMessage: handleHolderMessage,
    onHolderLost: () => {
      book.setOthers(new Map());
      book.forgetAdapters();
    },
  });

  const countHosts = (): number =>
    Math.max(1, connections.size + 1, options.membership().listHosts().length);

  const forgetAnswers = (): void => {
    for (const watch of Object.values(StoreWatch)) answersAtMs.set(watch, -Infinity);
  };
  forgetAnswers();

  const isFed = (): boolean =>
    lead === undefined && isHolderCurrent && clock.monotonicMs() - viewAtMs < FED_FRESH_MS;

  const runRound = (): void => {
    if (!isFed()) for (const resume of unfedWaiters.splice(0)) resume();
    const report = buildReport();
    if (lead === undefined) {
      if (!link.sendToHolder(report)) work.giveBack(report.demand);
      return;
    }
    lead.recordReport(report);
    lead.setListed(
      options
        .membership()
        .listHosts()
        .map(({ name }) => name),
    );
    const buildView = lead.startRound(
      countHosts(),
      isFeedCurrent([...answersAtMs.values()], clock.monotonicMs()),
    );
    for (const [name, connection] of connections) connection.send(buildView(name));
    applyView(buildView(host));
  };
  const rounds = setInterval(runRound, ROUND_MS);

  const applyLevels = (message: Omit<FleetLevelsMessage, 'type'>): void =>
    rates.setFleet({
      levels: new Map(Object.entries(message.levels)),
      own: new Map(Object.entries(message.ownAdmitted)),
      shares: new Map(Object.entries(message.shares)),
    });

  let rushedAtMs = -Infinity;
  let rushTimer: NodeJS.Timeout | undefined;
  /** Tells what an organisation in a rush has spent, so that hosts don't spend the same tokens. */
  const tellRush = (): void => {
    rushTimer = undefined;
    rushedAtMs = clock.monotonicMs();
    const admitted = Object.fromEntries(rates.getAdmitted());
    const admissions = { host, incarnation: options.incarnation, admitted };
    rates.markReported();
    if (lead === undefined) {
      link.sendToHolder({ type: 'admissions', ...admissions });
      return;
    }
    lead.recordAdmissions(admissions);
    if (!lead.isRushed()) return;
    for (const [name, connection] of connections) connection.send(lead.buildLevels(name));
    applyLevels(lead.buildLevels(host));
    lead.markLevelsTold();
  };
  /** Tells what was spent at once, or a pause after it was told last. */
  const planRush = (): void => {
    if (rushTimer !== undefined) return;
    if (!rates.isRushed(RUSH_PART) && lead?.isRushed() !== true) return;
    const pauseMs = Math.max(RUSH_MS, RUSH_HOST_MS * connections.size);
    const dueInMs = Math.max(0, rushedAtMs + pauseMs - clock.monotonicMs());
    rushTimer = setTimeout(tellRush, dueInMs);
  };
  rates.onSpent(planRush);

  const isPlacing = (): boolean => clock.monotonicMs() - viewAtMs < VIEW_FRESH_MS;

  return {
    placement: {
      askForAdapter: (wish) => (lead === undefined ? wishes.ask(wish) : lead.grantAdapter(wish)),
      recordDemand: (service, model, amount) => work.recordDemand(`${service}/${model}`, amount),
      estimateModelMs: (service, model) => {
        if (!isPlacing()) return undefined;
        const size = configuration?.services
          .get(service)
          ?.engines?.models.find(({ name }) => name === model);
        if (size === undefined) return undefined;
        const sinceMs = loadingSinceMs.get(`${service}/${model}`);
        if (sinceMs === undefined) return size.loadMs + ORDER_MS;
        return Math.max(MODEL_POLL_MS, sinceMs + size.loadMs + ORDER_MS - clock.monotonicMs());
      },
      waitForModel: async (service, model, waitMs) => {
        const untilMs = clock.monotonicMs() + waitMs;
        while (clock.monotonicMs() < untilMs) {
          if (book.listCandidates({ service, model }).length > 0) return;
          await wait(MODEL_POLL_MS);
        }
      },
    },
    listen: link.listen,
    setHosts: (hosts) => {
      link.setHosts(hosts);
      const nowMs = clock.monotonicMs();
      for (const name of listed) listedAtMs.set(name, nowMs);
      listed = hosts.map(({ name }) => name);
      if (!isPlacing()) rates.setHosts(hosts.length);
    },
    setFence: (fence) => {
      lead?.stop();
      lead = undefined;
      options.metrics.setLeading(fence !== undefined);
      forgetAnswers();
      if (fence !== undefined) {
        lead = leadFleet({
          ...options,
          fence,
          levels: rates.getLevels(),
          listedAtMs,
          ensureCommand: () => options.membership().ensureCommand(),
        });
        if (configuration !== undefined) lead.setConfiguration(configuration);
        lead.setServers(servers);
      }
      connections.clear();
      link.lead(fence);
    },
    setConfiguration: (next, value) => {
      configuration = next;
      configurationValue = value;
      lead?.setConfiguration(next);
    },
    setServers: (next) => {
      servers = next;
      lead?.setServers(next);
    },
    recordUse: (server, name, change) => work.recordUse(`${server}/${name}`, change),
    isFed,
    waitUntilUnfed: () =>
      isFed() ? new Promise((resolve) => unfedWaiters.push(resolve)) : Promise.resolve(),
    recordAnswer: (watch) => void answersAtMs.set(watch, clock.monotonicMs()),
    close: () => {
      clearInterval(rounds);
      clearTimeout(rushTimer);
      for (const resume of unfedWaiters.splice(0)) resume();
      lead?.stop();
      link.close();
    },
  };
}
