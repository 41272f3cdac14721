import type { LoadReport } from '../types.js';

const CHART_WIDTH_PX = 720;
const CHART_HEIGHT_PX = 200;
const CHART_MARGIN_PX = 40;
const COLOURS = { requests: '#888', whole: '#2a7', refused: '#c33' } as const;

function formatMs(value: number): string {
  return `${value.toFixed(1)} ms`;
}

function formatPercentage(value: number): string {
  return `${(100 * value).toFixed(2)} %`;
}

/** Renders a report as text. */
export function renderText(report: LoadReport): string {
  const { requests, whole, refused, failed, attainment } = report;
  const classes = Object.entries(report.byClass).map(
    ([name, { attainment: ratio, first, total }]) =>
      `  ${name.padEnd(12)} ${formatPercentage(ratio)} in time; first byte p50 ${formatMs(first.p50)}, ` +
      `p99 ${formatMs(first.p99)}; whole p50 ${formatMs(total.p50)}, p99 ${formatMs(total.p99)}`,
  );
  const organisations = Object.entries(report.byOrganisation).map(
    ([name, item]) =>
      `  ${name.padEnd(16)} ${item.requests} requests, ${item.whole} whole, ${item.refused} refused, ${formatPercentage(item.attainment)} in time`,
  );
  return [
    `${requests} requests in ${report.seconds} s: ${whole} whole, ${refused} refused, ${failed} failed; ${formatPercentage(attainment)} in time`,
    'by class',
    ...classes,
    'by organisation',
    ...organisations,
  ].join('\n');
}

function renderLine(values: readonly number[], maxValue: number, colour: string): string {
  const step = (CHART_WIDTH_PX - 2 * CHART_MARGIN_PX) / Math.max(1, values.length - 1);
  const points = values.map((value, index) => {
    const x = CHART_MARGIN_PX + index * step;
    const y =
      CHART_HEIGHT_PX -
      CHART_MARGIN_PX -
      (value / maxValue) * (CHART_HEIGHT_PX - 2 * CHART_MARGIN_PX);
    return `${x.toFixed(1)},${y.toFixed(1)}`;
  });
  return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(' ')}"/>`;
}

function renderTimeline({ timeline }: LoadReport): string {
  const maxRate = Math.max(1, ...timeline.map(({ requests }) => requests));
  const lines = (['requests', 'whole', 'refused'] as const).map((name) =>
    renderLine(
      timeline.map((second) => second[name]),
      maxRate,
      COLOURS[name],
    ),
  );
  const legend = Object.entries(COLOURS).map(
    ([name, colour], index) =>
      `<text x="${CHART_MARGIN_PX + index * 100}" y="20" fill="${colour}">${name}</text>`,
  );
  return (
    `<svg viewBox="0 0 ${CHART_WIDTH_PX} ${CHART_HEIGHT_PX}" width="${CHART_WIDTH_PX}" height="${CHART_HEIGHT_PX}" font-family="sans-serif" font-size="12">` +
    `${legend.join('')}${lines.join('')}<text x="2" y="${CHART_MARGIN_PX}">${maxRate}/s</text></svg>`
  );
}

function renderBars(rows: readonly (readonly [string, number])[]): string {
  const bars = rows.map(
    ([name, ratio], index) =>
      `<text x="0" y="${index * 24 + 16}">${name}</text>` +
      `<rect x="160" y="${index * 24 + 4}" width="${(ratio * 400).toFixed(1)}" height="16" fill="${COLOURS.whole}"/>` +
      `<text x="570" y="${index * 24 + 16}">${formatPercentage(ratio)}</text>`,
  );
  return `<svg width="${CHART_WIDTH_PX}" height="${rows.length * 24 + 8}" font-family="sans-serif" font-size="12">${bars.join('')}</svg>`;
}

function encodeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

/** Renders a report as a single HTML page with plots. */
export function renderPage(report: LoadReport): string {
  const organisations = Object.entries(report.byOrganisation).map(
    ([name, { attainment }]) => [encodeHtml(name), attainment] as const,
  );
  const classes = Object.entries(report.byClass).map(
    ([name, { attainment }]) => [name, attainment] as const,
  );
  return [
    '<!doctype html><meta charset="utf-8"><title>bronzelanding load</title>',
    '<h1>Load report</h1>',
    `<pre>${encodeHtml(renderText(report))}</pre>`,
    '<h2>Requests a second</h2>',
    renderTimeline(report),
    '<h2>In time, by class</h2>',
    renderBars(classes),
    '<h2>In time, by organisation</h2>',
    renderBars(organisations),
    '',
  ].join('\n');
}
