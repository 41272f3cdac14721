import { buildTokens } from '#dist/standin/engine/buildTokens.js';

/** A response as a caller receives it. */
export interface ReceivedResponse {
  status: number;
  outcome: string | null;
  headers: Headers;
  text: string;
}

/** Options of a request that a test sends as a caller. */
export interface CallerRequestOptions {
  method?: string;
  key?: string;
  body?: unknown;
  headers?: Record<string, string>;
  signal?: AbortSignal;
}

/** Sends a request and reads the whole response; the status is 0 when the connection failed. */
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
    const response = await fetch(url, {
      method,
      headers: {
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        ...headers,
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal,
    });
    const text = await response.text();
    return {
      status: response.status,
      outcome: response.headers.get('bronzelanding-outcome'),
      headers: response.headers,
      text,
    };
  } catch (error) {
    return { status: 0, outcome: null, headers: new Headers(), text: String(error) };
  }
}

/** Builds the text that a stand-in engine generates for a prompt. */
export function buildExpectedText(prompt: unknown, tokens: number): string {
  return buildTokens(JSON.stringify(prompt), tokens).join('');
}

/** Reads the text of a completion that was not streamed; undefined when it has no choices. */
export function readCompletionText({ text }: ReceivedResponse): string | undefined {
  const completion = JSON.parse(text) as {
    choices?: { text?: string; message?: { content: string } }[];
  };
  return completion.choices?.[0]?.text ?? completion.choices?.[0]?.message?.content;
}

/** The text of a streamed completion; complete when the stream ended with `[DONE]`. */
export interface ParsedStream {
  text: string;
  isComplete: boolean;
  error?: { code: string };
}

/** Parses the server-sent events of a streamed completion. */
export function parseStream({ text }: ReceivedResponse): ParsedStream {
  const stream: ParsedStream = { text: '', isComplete: false };
  for (const event of text.split('\n\n')) {
    const data = /^data: (.*)$/m.exec(event)?.[1];
    if (data === undefined) continue;
    if (event.startsWith('event: error'))
      stream.error = (JSON.parse(data) as { error: { code: string } }).error;
    else if (data === '[DONE]') stream.isComplete = true;
    else {
      const chunk = JSON.parse(data) as {
        choices: { text?: string; delta?: { content: string } }[];
      };
      stream.text += chunk.choices[0]?.text ?? chunk.choices[0]?.delta?.content ?? '';
    }
  }
  return stream;
}
