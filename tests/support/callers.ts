import { buildTokens } from '#dist/standin/engine/buildTokens.js';

/** An answer as a caller sees it. */
export interface ReceivedResponse {
  status: number;
  outcome: string | null;
  headers: Headers;
  text: string;
}

/** Options of a caller's request. */
export interface CallerRequestOptions {
  method?: string;
  key?: string;
  body?: unknown;
  headers?: Record<string, string>;
  signal?: AbortSignal;
}

/** Sends a request and reads the whole answer; status 0 when the connection broke. */
export async function sendCallerRequest(
  url: string,
  options: CallerRequestOptions = {},
): Promise<ReceivedResponse> {
  const {
    method = options.body === undefined ? 'GET' : 'POST',
    key,
    body,
    headers = {},
    signal,
  } = options;
  try {
    const reply = await fetch(url, {
      method,
      headers: {
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        ...headers,
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal,
    });
    const text = await reply.text();
    return {
      status: reply.status,
      outcome: reply.headers.get('bronzelanding-outcome'),
      headers: reply.headers,
      text,
    };
  } catch (error) {
    return { status: 0, outcome: null, headers: new Headers(), text: String(error) };
  }
}

/** Computes the text that an engine stand-in answers to a prompt. */
export function buildExpectedText(prompt: unknown, tokens: number): string {
  return buildTokens(JSON.stringify(prompt), tokens).join('');
}

/** Reads the text of a whole completion; nothing when the answer is none. */
export function readCompletionText({ text }: ReceivedResponse): string | undefined {
  const parsed = JSON.parse(text) as {
    choices?: { text?: string; message?: { content: string } }[];
  };
  return parsed.choices?.[0]?.text ?? parsed.choices?.[0]?.message?.content;
}

/** A stream as its caller read it. */
export interface ParsedStream {
  text: string;
  isComplete: boolean;
  error?: { code: string };
}

/** Reads a stream's events. */
export function parseStream({ text }: ReceivedResponse): ParsedStream {
  const read: ParsedStream = { text: '', isComplete: false };
  for (const event of text.split('\n\n')) {
    const data = /^data: (.*)$/m.exec(event)?.[1];
    if (data === undefined) continue;
    if (event.startsWith('event: error'))
      read.error = (JSON.parse(data) as { error: { code: string } }).error;
    else if (data === '[DONE]') read.isComplete = true;
    else {
      const chunk = JSON.parse(data) as {
        choices: { text?: string; delta?: { content: string } }[];
      };
      read.text += chunk.choices[0]?.text ?? chunk.choices[0]?.delta?.content ?? '';
    }
  }
  return read;
}
