import { formatTable } from '#dist/programs/operator/_lib/output.js';
import { measureWrongfulRefusals, type WrongfulRow } from './wrongfulRefusals.js';

/** One part of the benchmark. */
export interface BenchPart {
  title: string;
  /** Measures, and returns the figures with their text. */
  run: () => Promise<{ figures: unknown; text: string }>;
}

function buildPart<Figures>(
  title: string,
  measure: () => Figures | Promise<Figures>,
  render: (figures: Figures) => string,
): BenchPart {
  const run = async () => {
    const figures = await measure();
    return { figures, text: render(figures) };
  };
  return { title, run };
}

const toPercent = (part: number): string => `${(100 * part).toFixed(2)} %`;

function renderWrongful(rows: WrongfulRow[]): string {
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

/** All parts by name. */
export const parts: Record<string, BenchPart> = {
  wrongful: buildPart(
    '1. Wrongful refusals: admitted tokens against one ideal bucket, 8 hosts',
    measureWrongfulRefusals,
    renderWrongful,
  ),
};
