import t from 'tap';
import { createPrefixRelay } from '#dist/serving/startFleetLeader/_lib/createPrefixRelay.js';
import { LOAD, replayPrefixes, type PrefixLoad } from './support/prefixReplay.js';

const SEEDS = [1, 2, 3];
const NONE = { othersWeight: 1 };
const REPORTED = { ...NONE, prefixReports: 256 };
const AGED = { ...REPORTED, cacheAging: 1 };
const COPIES = { ...AGED, copyWeight: 2 };
const KNOWN = { ...COPIES, knownWeight: 1 };
const MANY_PREFIXES = { prefixes: 60 };
const BURSTS = { burstSize: 12, utilisation: 0.5 };

type Settings = Parameters<typeof replayPrefixes>[2];

function measure(load: Partial<PrefixLoad>, settings: Settings) {
  const results = SEEDS.map((seed) => replayPrefixes(seed, { ...LOAD, ...load }, settings));
  const average = (numbers: number[]) =>
    numbers.reduce((sum, number) => sum + number, 0) / SEEDS.length;
  return {
    onTime: average(results.map(({ onTime }) => onTime)),
    meanMs: average(results.map(({ meanMs }) => meanMs)),
  };
}

// Each case guards against the loss of the gain that a decision has over the rule before it.
const CASES: [name: string, load: Partial<PrefixLoad>, before: Settings, after: Settings][] = [
  ['uses of other hosts, engines restart', { restartMs: 2000 }, NONE, REPORTED],
  ['uses of other hosts, 20 engines', { engines: 20, prefixes: 120, seconds: 12 }, NONE, REPORTED],
  ['ageing by processed tokens, prefixes that do not fit', MANY_PREFIXES, REPORTED, AGED],
  ['ageing by processed tokens, few hosts', { hosts: 7 }, NONE, { ...NONE, cacheAging: 1 }],
  ['cost of copies, all engines busy', {}, AGED, COPIES],
  ['cost of copies, views up to 2.2 s old', { viewAgeMs: 2000 }, AGED, COPIES],
  ['cost of copies, prefixes that do not fit', MANY_PREFIXES, AGED, COPIES],
  ['known prefixes, bursts', BURSTS, COPIES, KNOWN],
  ['known prefixes, bursts at few hosts', { ...BURSTS, hosts: 4 }, COPIES, KNOWN],
  ['known prefixes, prefixes that do not fit', MANY_PREFIXES, COPIES, KNOWN],
  ['all, hot prefixes on 12 engines', { engines: 12, hotShare: 0.5, prefixes: 60 }, NONE, KNOWN],
  ['all, engines restart', { restartMs: 2000 }, NONE, KNOWN],
];
for (const [name, load, before, after] of CASES)
  t.test(`serves prompts sooner: ${name}`, (t) => {
    const previous = measure(load, before);
    const next = measure(load, after);
    const figures = `${JSON.stringify(next)}, ${JSON.stringify(previous)} before`;
    t.ok(next.onTime > previous.onTime, `more on time: ${figures}`);
    t.ok(next.meanMs < previous.meanMs, `sooner: ${figures}`);
    t.end();
  });

// Guards against hosts that count their own requests twice, and a leader that keeps uses without end.
t.test('passes each use on to the other hosts once, up to a bound', (t) => {
  const relay = createPrefixRelay();
  relay.record('h1', { e1: [7, 8] });
  relay.record('h2', { e1: [7] });
  relay.record('h3', undefined);
  const find = relay.takeRound();
  t.same(find('h1'), { e1: [7] });
  t.same(find('h3'), { e1: [7, 8, 7] });
  t.equal(relay.takeRound()('h3'), undefined);
  for (let index = 0; index < 50; index += 1)
    relay.record('h1', { [`e${index % 9}`]: Array.from({ length: 200 }, () => index) });
  const uses = Object.values(relay.takeRound()('h2') ?? {});
  t.equal(uses.flat().length, 4096);
  t.end();
});
