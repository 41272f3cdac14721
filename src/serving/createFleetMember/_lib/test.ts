import t from 'tap';
import type { FleetConnection } from '../../createFleetTransport/index.js';
import type { FleetMessage } from '../../fleetMessages.js';
import { decodeConfigurationValue, encodeConfigurationValue } from './configurationValue.js';
import { createConfigurationExchange } from './createConfigurationExchange.js';
import { createLeaderFeeds } from './createLeaderFeeds.js';
import { createReportLog } from './createReportLog.js';

const CURRENT_VIEW = { isCurrent: true, isStandby: false };
const OUTDATED_VIEW = { isCurrent: false, isStandby: false };

function openFeeds() {
  let nowMs = 0;
  let listAgeMs = 0;
  const feeds = createLeaderFeeds({
    clock: { monotonicMs: () => nowMs, wallMs: () => nowMs },
    feedTimeoutMs: 2000,
    outdatedFeedMs: 1000,
    maximumListAgeMs: 1300,
    getListAgeMs: () => listAgeMs,
    startGraceMs: 1500,
    leadershipGraceMs: 0,
  });
  return {
    feeds,
    setNowMs: (next: number) => (nowMs = next),
    setListAgeMs: (next: number) => (listAgeMs = next),
  };
}

t.test('a starting host waits for a leader before it reads the store', (t) => {
  const { feeds, setNowMs } = openFeeds();
  t.ok(feeds.changes.isFeedActive());
  t.notOk(feeds.leadership.isFeedActive());
  setNowMs(1600);
  t.notOk(feeds.changes.isFeedActive());
  t.end();
});

t.test('a leader that has connected is given time to send its first view', (t) => {
  const { feeds, setNowMs } = openFeeds();
  setNowMs(1600);
  feeds.recordLeader();
  t.ok(feeds.changes.isFeedActive());
  t.ok(feeds.leadership.isFeedActive());
  setNowMs(3700);
  t.notOk(feeds.changes.isFeedActive());
  t.end();
});

t.test('views of a leader that has lost the store do not prolong the feed', async (t) => {
  const { feeds, setNowMs } = openFeeds();
  feeds.recordView(CURRENT_VIEW);
  const ended = feeds.changes.waitUntilFeedEnds();
  setNowMs(900);
  feeds.recordView(OUTDATED_VIEW);
  t.ok(feeds.changes.isFeedActive(), 'another leader may take over first');
  setNowMs(1100);
  feeds.recordView(OUTDATED_VIEW);
  t.notOk(feeds.changes.isFeedActive());
  await ended;
});

t.test('the feed ends when views stop', (t) => {
  const { feeds, setNowMs } = openFeeds();
  feeds.recordView(CURRENT_VIEW);
  setNowMs(1900);
  t.ok(feeds.changes.isFeedActive());
  setNowMs(2100);
  t.notOk(feeds.changes.isFeedActive());
  t.end();
});

t.test('a standby watches the leadership while it is fed with the rest', (t) => {
  const { feeds } = openFeeds();
  feeds.recordView({ ...CURRENT_VIEW, isStandby: true });
  t.ok(feeds.changes.isFeedActive());
  t.notOk(feeds.leadership.isFeedActive());
  t.ok(feeds.leadership.isWatcher());
  t.notOk(feeds.changes.isWatcher());
  t.end();
});

t.test('a leader reads the store itself', (t) => {
  const { feeds } = openFeeds();
  feeds.recordView(CURRENT_VIEW);
  feeds.setLeading(true);
  t.notOk(feeds.changes.isFeedActive());
  t.ok(feeds.changes.isWatcher());
  t.end();
});

const LARGE_FLEET = { hosts: 195, leaderLinkMbps: 200, renewalIntervalMs: 500 };

/** Builds a configuration with routes like those of a deployment. */
function buildConfigurationValue(routeCount: number): Buffer {
  const routes = Array.from({ length: routeCount }, (_, index) => ({
    name: `r-${(index * 2_654_435_761).toString(36)}`,
    host: 'depots.example',
    prefix: `/${(index * 40_503).toString(36)}/`,
    route_type: 'stream',
    timeout_ms: 5000,
    target_latency_ms: 607,
    priority: 2,
    service: 'llm',
    max_attempts: 1,
    auth_exempt: false,
    sticky: true,
    resumable: false,
    gap_target_ms: 250,
  }));
  return Buffer.from(JSON.stringify({ version: 7, routes }));
}

function openConnection() {
  const sent: FleetMessage[] = [];
  const connection = {
    send: (message: FleetMessage) => {
      sent.push(message);
      return true;
    },
  } as unknown as FleetConnection;
  return { connection, sent };
}

t.test('passes a large configuration on while the leader renews its lease', (t) => {
  const value = buildConfigurationValue(1760);
  const { connection, sent } = openConnection();
  const exchange = createConfigurationExchange({ monotonicMs: () => 0, wallMs: () => 0 });
  exchange.setConfiguration(7, value);
  exchange.sendTo(connection);
  const bytes = sent.reduce(
    (sum, message) => sum + (message.type === 'configuration' ? message.value.length : 0),
    0,
  );
  const linkMs = (LARGE_FLEET.hosts * bytes * 8) / (LARGE_FLEET.leaderLinkMbps * 1000);
  t.ok(linkMs < LARGE_FLEET.renewalIntervalMs, `${Math.round(linkMs)} ms of the leader's link`);
  t.end();
});

t.test('a host asks once for a configuration that is under way', (t) => {
  let nowMs = 0;
  const { connection, sent } = openConnection();
  const exchange = createConfigurationExchange({ monotonicMs: () => nowMs, wallMs: () => nowMs });
  for (; nowMs < 900; nowMs += 200) exchange.requestNewer(connection, 7);
  t.equal(sent.length, 1);
  exchange.requestNewer(connection, 8);
  t.equal(sent.length, 2, 'a newer version is asked for at once');
  nowMs += 1000;
  exchange.requestNewer(connection, 8);
  t.equal(sent.length, 3, 'a request that was lost is repeated');
  exchange.setConfiguration(8, Buffer.from('{}'));
  nowMs += 1000;
  exchange.requestNewer(connection, 8);
  t.equal(sent.length, 3);
  t.end();
});

t.test('keeps configurations byte for byte, and rejects one that is damaged or endless', (t) => {
  for (const value of [buildConfigurationValue(1), buildConfigurationValue(500)])
    t.ok(decodeConfigurationValue(encodeConfigurationValue(value)).equals(value));
  const encoded = encodeConfigurationValue(buildConfigurationValue(500));
  t.throws(() => decodeConfigurationValue(encoded.subarray(0, encoded.length / 2)));
  t.throws(() => decodeConfigurationValue(encodeConfigurationValue(Buffer.alloc(8_000_000))));
  t.end();
});

t.test('a view is as old as the report that it answers and the list of the leader', (t) => {
  let nowMs = 0;
  const reports = createReportLog({ monotonicMs: () => nowMs, wallMs: () => nowMs });
  const number = reports.add();
  nowMs = 900;
  t.equal(reports.findCompleteAsOf({ reportNumber: number, serversAgeMs: 300 })?.monotonicMs, -300);
  t.equal(reports.findCompleteAsOf({ reportNumber: number }), undefined, 'no list yet');
  t.equal(reports.findCompleteAsOf({ serversAgeMs: 300 }), undefined, 'an older version');
  for (let index = 0; index < 40; index += 1) reports.add();
  t.equal(reports.findCompleteAsOf({ reportNumber: number, serversAgeMs: 300 }), undefined);
  t.end();
});

t.test(
  'a host whose list of servers is too old reads it itself, although views arrive',
  async (t) => {
    const { feeds, setListAgeMs } = openFeeds();
    feeds.recordView(CURRENT_VIEW);
    const ended = feeds.servers.waitUntilFeedEnds();
    setListAgeMs(1200);
    feeds.recordView(CURRENT_VIEW);
    t.ok(feeds.servers.isFeedActive());
    setListAgeMs(1400);
    feeds.recordView(CURRENT_VIEW);
    t.notOk(feeds.servers.isFeedActive());
    t.ok(feeds.changes.isFeedActive(), 'the configuration is not concerned');
    await ended;
  },
);
