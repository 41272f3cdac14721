/** Reads the lines of a body as they become complete, without blank ones; each line is joined once. */
export async function* readLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let parts: string[] = [];
  for await (const chunk of body) {
    const [end = '', ...lines] = decoder.decode(chunk, { stream: true }).split('\n');
    parts.push(end);
    if (lines.length === 0) continue;
    const complete = [parts.join(''), ...lines.slice(0, -1)];
    parts = lines.slice(-1);
    yield* complete.filter((line) => line.trim() !== '');
  }
}
