import t from 'tap';
import { createRequestLimiter } from '#dist/serving/createFleetMember/_lib/createRequestLimiter.js';
import { createServerNotices } from '#dist/serving/createServerNotices/index.js';
import {
  createRequestSchedules,
  type RequestSchedules,
} from '#dist/serving/startFleetLeader/_lib/createRequestSchedules.js';
import { buildColdConfiguration, buildColdServer } from './support/coldServers.js';
import { runLimitSimulation } from './support/limitSimulation.js';

const FLEET = { servers: 6, requestRate: 240, durationMs: 24_000, drawLimit: () => Infinity };
const TROUBLE = { leaderFailureMs: 5000, cutFraction: 0.4 };

for (const hosts of [7, 60])
  t.test(`${hosts} hosts spare engines that turn cold, while leaders fail`, async (t) => {
    for (const coldPerSecond of [2, 8, 30])
      for (const seed of [1, 2, 3, 4]) {
        const options = { ...FLEET, ...TROUBLE, hosts, seed, coldPerSecond, patienceMs: 2000 };
        const { worstColdSecond } = await runLimitSimulation(options);
        const allowed = 1.5 * coldPerSecond + 5;
        t.ok(worstColdSecond <= allowed, `seed ${seed}: ${worstColdSecond} of ${allowed}`);
      }
  });

t.test(
  'half of the engines, cold at once, get what they take, and all once they are warm',
  async (t) => {
    const options = { ...FLEET, hosts: 7, seed: 1, patienceMs: 2000 };
    const before = await runLimitSimulation({ ...options, coldPerSecond: 0 });
    const result = await runLimitSimulation({ ...options, coldPerSecond: 4 });
    t.ok(
      before.worstColdSecond > 2 * (1.5 * 4 + 5),
      `${before.worstColdSecond} by the previous rule`,
    );
    t.ok(result.worstColdSecond <= 4 && result.worstColdSecond >= 3, `${result.worstColdSecond}`);
    t.ok(result.warmPerSecond > 0.9 * before.warmPerSecond, `${result.warmPerSecond} once warm`);
  },
);

t.test(
  '20 requests right after an engine was replaced wait their turn, also under a new leader',
  async (t) => {
    const clock = { monotonicMs: () => 0, wallMs: () => 0 };
    const log = { info: () => undefined, warn: () => undefined, error: () => undefined };
    for (const coldPerSecond of [0, 4]) {
      const notices = createServerNotices({ clock, log });
      notices.setConfiguration(buildColdConfiguration(coldPerSecond));
      notices.applyTo(new Map([['e1', buildColdServer('e1')]]));
      const replaced = { incarnation: 'e1/2', coldRemainingMs: 9000 };
      notices.applyTo(new Map([['e1', buildColdServer('e1', replaced)]]));
      let leader: RequestSchedules | undefined = createRequestSchedules({ clock, ...notices });
      const limiter = createRequestLimiter({
        ...{ clock, random: () => 0.5, ...notices, getHostCount: () => 3, isLed: () => false },
        getLeader: () => leader && { reserveRequest: leader.reserve },
        sendToLeader: () => false,
      });
      const waitsMs: (number | undefined)[] = [];
      for (let request = 0; request < 20; request += 1) {
        if (request === 7) leader = undefined;
        if (request === 14) leader = createRequestSchedules({ clock, ...notices });
        waitsMs.push(await limiter.reserve('e1/2', 900));
      }
      const sent = waitsMs.filter((waitMs) => waitMs !== undefined).length;
      const allowed = 1.5 * coldPerSecond + 5;
      t.equal(sent <= allowed && sent > 2, coldPerSecond > 0, `${sent} of 20 in the first second`);
    }
  },
);
