import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import type { ModelOrders } from '../../ports/modelOrders.js';
import type { BackendServer, ServingConfiguration } from '../../ports/serving.js';
import { RUSH_PART } from '../createFleetBuckets/index.js';
import { createFleetLink, type FleetConnection } from '../createFleetLink/index.js';
import type { OrganisationRates } from '../createOrganisationRates/index.js';
import type { RepeatBudget } from '../createRepeatBudget/index.js';
import type { ServerBook, ServerLoad } from '../createServerBook/index.js';
import type { FleetLevelsMessage, FleetMessage, FleetReport, FleetView } from '../fleetMessages.js';
import type { FleetHost, Membership } from '../keepMembership/index.js';
import { leadFleet, type FleetLead } from '../leadFleet/index.js';
import type { ServingMetrics } from '../servingMetrics/index.js';
import type { AdapterGrant, AdapterWish, Placement } from '../types.js';

/** A host's part in the fleet: it reports to the holder of the command, or is the holder itself. */
export interface FleetPart {
  placement: Placement;
  listen: (address: string, port: number) => Promise<number>;
  setHosts: (hosts: readonly FleetHost[]) => void;
  setFence: (fence: number | undefined) => void;
  setConfiguration: (configuration: ServingConfiguration, value: Buffer) => void;
  setServers: (servers: ReadonlyMap<string, BackendServer>) => void;
  recordUse: (server: string, name: string, change: 1 | -1) => void;
  /** Whether another host holds the command, hears the store and is heard. */
  isFed: () => boolean;
  /** Notes that the store answered one of the watches. */
  recordAnswer: (watch: string) => void;
  close: () => void;
}

/** Options of a host's part in the fleet. */
export interface FleetPartOptions {
  clock: Clock;
  log: Log;
  metrics: ServingMetrics;
  orders: ModelOrders;
  book: ServerBook;
  rates: OrganisationRates;
  repeats: RepeatBudget;
  host: string;
  incarnation: string;
  membership: () => Membership;
  /** Takes a configuration that a peer has passed on. */
  onConfiguration: (value: Uint8Array) => void;
  /** Takes servers that the holder of the command has seen. */
  onServers: (changed: readonly BackendServer[], removed: readonly string[]) => void;
}

const ROUND_MS = 200; // figures older than that misplace a burst; see docs/platform.md
const RUSH_MS = 40; // a hot organisation spends a few percent of its burst meanwhile
const RUSH_HOST_MS = 5; // each message to a host takes some of the time of a small host
const GRANT_MS = 700; // an order, one look again at the engine, and two messages
const VIEW_FRESH_MS = 1500; // several rounds; later nobody is taken to place models
const FED_FRESH_MS = 700; // three rounds; then this host watches the store itself
const WATCHES = 3; // configuration, servers, fleet
const CURRENT_MS = 3000; // the longest wait of a watch, and a little
const ORDER_MS = 700; // a plan, its announcement and the order
const MODEL_POLL_MS = 40; // below the shortest objective by far

function computeOthers(view: FleetView): Map<string, ServerLoad> {
  return new Map(
    Object.entries(view.loads).map(([server, [active, backlog, held, urgent]]) => {
      const own = view.ownLoads[server] ?? [0, 0, 0, 0];
      return [
        server,
        {
          active: Math.max(0, active - own[0]),
          backlogTokens: Math.max(0, backlog - own[1]),
          heldTokens: Math.max(0, held - own[2]),
          urgentTokens: Math.max(0, urgent - own[3]),
        },
      ];
    }),
  );
}

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
  const answersAtMs = new Map<string, number>();
  const demand = new Map<string, number>();
  const uses = new Map<string, number>();
  const connections = new Map<string, FleetConnection>();
  const grants = new Map<number, (grant: AdapterGrant | undefined) => void>();
  const wishes = new Map<string, Promise<AdapterGrant | undefined>>();
  let wishId = 0;

  const buildReport = (): FleetReport => {
    const asked = Object.fromEntries(demand);
    demand.clear();
    return {
      type: 'report',
      host,
      incarnation: options.incarnation,
      version: configuration?.version ?? 0,
      loads: Object.fromEntries(
        [...book.getOwnLoads()].map(([server, load]) => [
          server,
          [
            load.active,
            Math.round(load.backlogTokens),
            Math.round(load.heldTokens),
            Math.round(load.urgentTokens),
          ],
        ]),
      ),
      admitted: Object.fromEntries(rates.getAdmitted()),
      demand: asked,
      inUse: [...uses.keys()],
      silent: book.listSilent(),
    };
  };

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
      if (message.version > (configuration?.version ?? 0))
        connection.send({ type: 'configurationRequest' });
    } else if (message.type === 'admissions') lead?.recordAdmissions(message);
    else if (message.type === 'wish') void answerWish(message, connection);
    else if (message.type === 'configurationRequest') passConfiguration(connection);
    else if (message.type === 'configuration') options.onConfiguration(message.value);
  };

  const handleHolderMessage = (message: FleetMessage, connection: FleetConnection): void => {
    if (message.type === 'view') {
      applyView(message);
      if (message.version > (configuration?.version ?? 0))
        connection.send({ type: 'configurationRequest' });
    } else if (message.type === 'levels') applyLevels(message);
    else if (message.type === 'grant')
      grants.get(message.id)?.(
        message.server === undefined
          ? undefined
          : { server: message.server, readyInMs: message.readyInMs },
      );
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

  /** Tells whether all watches of the store were answered lately. */
  const isCurrent = (): boolean => {
    const sinceMs = clock.monotonicMs() - CURRENT_MS;
    const answered = [...answersAtMs.values()].filter((atMs) => atMs > sinceMs);
    return answered.length === WATCHES;
  };

  const runRound = (): void => {
    const report = buildReport();
    if (lead === undefined) {
      if (!link.sendToHolder(report))
        for (const [key, work] of Object.entries(report.demand)) demand.set(key, work);
      return;
    }
    lead.recordReport(report);
    lead.setListed(
      options
        .membership()
        .listHosts()
        .map(({ name }) => name),
    );
    const hosts = countHosts();
    const current = isCurrent();
    for (const [name, connection] of connections)
      connection.send(lead.buildView(name, hosts, current));
    applyView(lead.buildView(host, hosts, current));
  };
  const rounds = setInterval(runRound, ROUND_MS);

  const applyLevels = (message: Omit<FleetLevelsMessage, 'type'>): void =>
    rates.setFleet({
      levels: new Map(Object.entries(message.levels)),
      own: new Map(Object.entries(message.ownAdmitted)),
      shares: new Map(Object.entries(message.shares)),
    });

  let rushedAtMs = 0;
  /** Tells what an organisation in a rush has spent, so that hosts don't spend the same tokens. */
  const tellRush = (): void => {
    const nowMs = clock.monotonicMs();
    if (nowMs - rushedAtMs < RUSH_HOST_MS * connections.size) return;
    if (lead === undefined && !rates.isRushed(RUSH_PART)) return;
    rushedAtMs = nowMs;
    const admitted = Object.fromEntries(rates.getAdmitted());
    const admissions = { host, incarnation: options.incarnation, admitted };
    rates.markReported();
    if (lead === undefined) {
      link.sendToHolder({ type: 'admissions', ...admissions });
      return;
    }
    lead.recordAdmissions(admissions);
    const own = lead.buildLevels(host);
    if (own === undefined) return;
    for (const [name, connection] of connections) {
      const levels = lead.buildLevels(name);
      if (levels !== undefined) connection.send(levels);
    }
    applyLevels(own);
    lead.markLevelsTold();
  };
  const rushes = setInterval(tellRush, RUSH_MS);

  const sendWish = (wish: AdapterWish): Promise<AdapterGrant | undefined> =>
    new Promise((resolve) => {
      wishId += 1;
      const id = wishId;
      const finish = (grant: AdapterGrant | undefined): void => {
        clearTimeout(timer);
        grants.delete(id);
        resolve(grant);
      };
      const timer = setTimeout(() => finish(undefined), GRANT_MS);
      grants.set(id, finish);
      const isSent = link.sendToHolder({
        type: 'wish',
        id,
        ...wish,
        servers: [...wish.servers],
        missing: [...wish.missing],
      });
      if (!isSent) finish(undefined);
    });

  const isPlacing = (): boolean => clock.monotonicMs() - viewAtMs < VIEW_FRESH_MS;

  return {
    placement: {
      askForAdapter: (wish) => {
        const key = `${wish.model}/${wish.adapter}`;
        const known = wishes.get(key);
        if (known !== undefined) return known;
        const asked = (lead === undefined ? sendWish(wish) : lead.grantAdapter(wish)).finally(() =>
          wishes.delete(key),
        );
        wishes.set(key, asked);
        return asked;
      },
      recordDemand: (service, model, work) => {
        const key = `${service}/${model}`;
        demand.set(key, (demand.get(key) ?? 0) + work);
      },
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
          await new Promise((resolve) => setTimeout(resolve, MODEL_POLL_MS));
        }
      },
    },
    listen: link.listen,
    setHosts: (hosts) => {
      link.setHosts(hosts);
      if (!isPlacing()) rates.setHosts(hosts.length);
    },
    setFence: (fence) => {
      lead?.stop();
      lead = undefined;
      options.metrics.setLeading(fence !== undefined);
      answersAtMs.clear();
      if (fence !== undefined) {
        lead = leadFleet({
          ...options,
          fence,
          levels: rates.getLevels(),
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
    recordUse: (server, name, change) => {
      const key = `${server}/${name}`;
      const count = (uses.get(key) ?? 0) + change;
      if (count > 0) uses.set(key, count);
      else uses.delete(key);
    },
    isFed: () =>
      lead === undefined && isHolderCurrent && clock.monotonicMs() - viewAtMs < FED_FRESH_MS,
    recordAnswer: (watch) => {
      answersAtMs.set(watch, clock.monotonicMs());
    },
    close: () => {
      clearInterval(rounds);
      clearInterval(rushes);
      lead?.stop();
      link.close();
    },
  };
}
