import { LineCounter, parseDocument, type Document } from 'yaml';

/** A parsed YAML document with the line positions of its text. */
export interface LocatedDocument {
  document: Document;
  lineCounter: LineCounter;
}

/** Parses YAML and keeps the line positions. */
export function parseLocatedDocument(text: string): LocatedDocument {
  const lineCounter = new LineCounter();
  return { document: parseDocument(text, { lineCounter }), lineCounter };
}

/** Finds the line of a path, or of its nearest ancestor in the document. */
export function findLine(located: LocatedDocument, path: readonly PropertyKey[]): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = located.document.getIn(path.slice(0, length), true) as
      { range?: [number, number, number] } | undefined;
    if (node?.range) return located.lineCounter.linePos(node.range[0]).line;
  }
  return 1;
}

/** Formats a path as `models[3].service`. */
export function formatPath(path: readonly PropertyKey[]): string {
  const text = path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('');
  return text.startsWith('.') ? text.slice(1) : text;
}
