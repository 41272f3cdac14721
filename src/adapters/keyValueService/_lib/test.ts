import t from 'tap';
import { readLines } from './readLines.js';

async function* sendChunks(text: string, size: number): AsyncGenerator<Uint8Array> {
  const bytes = Buffer.from(text);
  for (let start = 0; start < bytes.length; start += size)
    yield await Promise.resolve(bytes.subarray(start, start + size));
}

async function collectLines(text: string, size: number): Promise<string[]> {
  const lines: string[] = [];
  for await (const line of readLines(sendChunks(text, size))) lines.push(line);
  return lines;
}

t.test('reads lines however they are split into chunks', async (t) => {
  for (const size of [1, 2, 3, 5, 100])
    t.same(await collectLines('{"a":"é"}\n\n{"b":2}\n{"c"', size), ['{"a":"é"}', '{"b":2}']);
});

// Guards against a line that is joined and searched anew with each of its chunks.
t.test('splits each character of a long line once', async (t) => {
  const line = 'x'.repeat(100_000);
  let split = 0;
  const { split: splitText } = String.prototype as {
    split: (...parameters: unknown[]) => string[];
  };
  String.prototype.split = function (this: string, ...parameters: unknown[]): string[] {
    split += this.length;
    return splitText.apply(this, parameters);
  };
  try {
    t.same(await collectLines(`${line}\n`, 10), [line]);
  } finally {
    String.prototype.split = splitText;
  }
  t.ok(split <= 2 * line.length, `${split} characters split for ${line.length}`);
});
