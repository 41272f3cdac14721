import { sendJsonResponse, type StandinRequest } from '../http.js';
import { buildTokens } from './buildTokens.js';
import type { Batcher } from './createBatcher.js';
import type { EngineMemory } from './createEngineMemory.js';
import type { Generation, Streams } from './createStreams.js';

/** Body of a completion or chat completion request. */
export interface CompletionBody {
  model: string;
  prompt?: unknown;
  messages?: unknown;
  max_tokens: number;
  stream?: boolean;
  priority?: number;
}

/** Parts of an engine stand-in that a generation uses. */
export interface CompletionGeneratorOptions {
  memory: EngineMemory;
  batcher: Batcher;
  streams: Streams;
}

/** Runs generations in the batch of an engine stand-in. */
export interface CompletionGenerator {
  /** Adds text, usage and end to the stream of a generation; a cancelled one gets no further text. */
  generate: (generation: Generation, body: CompletionBody, isChat: boolean) => Promise<void>;
  /** Runs a generation and sends its whole text in one response; cancels it when the caller leaves. */
  sendCompletion: (
    generation: Generation,
    body: CompletionBody,
    isChat: boolean,
    request: StandinRequest,
  ) => Promise<void>;
}

const PREFIX_CHARACTERS = 128;

/** Creates a generator on the memory, batch and streams of one engine. */
export function createCompletionGenerator({
  memory,
  batcher,
  streams,
}: CompletionGeneratorOptions): CompletionGenerator {
  const generate = async (
    generation: Generation,
    body: CompletionBody,
    isChat: boolean,
  ): Promise<void> => {
    const prompt = JSON.stringify(body.messages ?? body.prompt);
    const endRequest = memory.startRequest(body.model);
    const removeFromBatch = await batcher.start(
      prompt.slice(0, PREFIX_CHARACTERS),
      body.priority ?? 0,
    );
    const tokens = buildTokens(prompt, body.max_tokens);
    for (const text of tokens) {
      if (generation.isCancelled) break;
      await batcher.waitForToken();
      const choice = isChat ? { index: 0, delta: { content: text } } : { index: 0, text };
      const chunk = { id: generation.id, model: body.model, choices: [choice] };
      streams.addEvent(generation, JSON.stringify(chunk));
    }
    const promptTokens = Math.ceil(prompt.length / 4);
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: tokens.length,
      total_tokens: promptTokens + tokens.length,
    };
    streams.addEvent(generation, JSON.stringify({ id: generation.id, choices: [], usage }));
    streams.addEvent(generation, '[DONE]');
    removeFromBatch();
    endRequest();
    streams.end(generation);
  };

  const sendCompletion = async (
    generation: Generation,
    body: CompletionBody,
    isChat: boolean,
    request: StandinRequest,
  ): Promise<void> => {
    request.response.once('close', () => {
      if (!request.response.writableFinished) generation.isCancelled = true;
    });
    await generate(generation, body, isChat);
    const chunks = generation.events.slice(0, -2).map((data) => JSON.parse(data) as unknown);
    const text = chunks
      .map((chunk) => {
        const { choices } = chunk as { choices: { text?: string; delta?: { content: string } }[] };
        return choices[0]?.text ?? choices[0]?.delta?.content ?? '';
      })
      .join('');
    const { usage } = JSON.parse(generation.events.at(-2) ?? '{}') as { usage: unknown };
    const choice = isChat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'length' }
      : { index: 0, text, finish_reason: 'length' };
    sendJsonResponse(request.response, 200, {
      id: generation.id,
      model: body.model,
      choices: [choice],
      usage,
    });
  };

  return { generate, sendCompletion };
}
