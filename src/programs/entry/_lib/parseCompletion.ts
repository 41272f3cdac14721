import { z } from 'zod';
import { createRefusal } from './refusals.js';

const MAX_TOKENS = 1_000_000;
const MAX_CHOICES = 16;
/** Length of the prompt prefix by which requests are routed. */
const MAX_PREFIX_CHARACTERS = 512;
/** Maximum number of tokens that a chat template adds to each message. */
const MAX_TEMPLATE_TOKENS_PER_MESSAGE = 8;

const tokenCount = z.int().min(1).max(MAX_TOKENS);
const completionBody = z.looseObject({
  model: z.string().min(1),
  prompt: z.union([z.string(), z.array(z.string()).min(1)]).optional(),
  messages: z
    .array(z.looseObject({ role: z.string(), content: z.unknown() }))
    .min(1)
    .optional(),
  max_tokens: tokenCount.nullish(),
  max_completion_tokens: tokenCount.nullish(),
  n: z.int().min(1).max(MAX_CHOICES).nullish(),
  best_of: z.int().min(1).max(MAX_CHOICES).nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
});

/** Parsed request for a completion or chat completion. */
export interface Completion {
  /** Name of the model or adapter in the bundle. */
  model: string;
  isStream: boolean;
  /** Whether the caller asked for token usage in the stream. */
  wantsUsage: boolean;
  /** Upper bound of the tokens of prompt and output, charged at admission. */
  tokens: number;
  /** Output tokens that the engine may generate for each choice. */
  maximumTokens: number;
  /** Start of the prompt; requests with the same prefix are routed to the same engines for their prefix caches. */
  prefix: string;
  body: Record<string, unknown>;
}

function toText(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value ?? '');
}

function countPromptBytes(body: z.infer<typeof completionBody>): number {
  const prompts = [body.prompt ?? []].flat().map(toText);
  const messages = (body.messages ?? []).map(({ content }) => toText(content));
  const extras = [body.tools, body.functions, body.response_format, body.suffix].map(toText);
  const texts = [...prompts, ...messages, ...extras.filter((text) => text !== '""')];
  return texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
}

function formatIssue(issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String).join('.');
  return path === '' ? issue.message : `${path}: ${issue.message}`;
}

/** Options of parsing a completion. */
export interface ParseCompletionOptions {
  /** Bytes of prompt that are charged as one token. */
  promptBytesPerToken: number;
  /** Output tokens of a request without `max_tokens` or `max_completion_tokens`. */
  defaultMaximumTokens: number;
  isChat: boolean;
}

/** Parses the body of a completion; throws a refusal that lists what is invalid. */
export function parseCompletion(text: string, options: ParseCompletionOptions): Completion {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw createRefusal(400, 'body_invalid', 'the body is not JSON');
  }
  const parsed = completionBody.safeParse(value);
  if (!parsed.success)
    throw createRefusal(400, 'body_invalid', parsed.error.issues.map(formatIssue).join('; '));
  const body = parsed.data;
  const requiredField = options.isChat ? 'messages' : 'prompt';
  if (body[requiredField] === undefined)
    throw createRefusal(400, 'body_invalid', `${requiredField}: is required`);
  const maximumTokens =
    body.max_completion_tokens ?? body.max_tokens ?? options.defaultMaximumTokens;
  const choices = Math.max(body.n ?? 1, body.best_of ?? 1);
  const messageTokens = (body.messages?.length ?? 0) * MAX_TEMPLATE_TOKENS_PER_MESSAGE;
  const promptTokens = Math.ceil(countPromptBytes(body) / options.promptBytesPerToken);
  return {
    model: body.model,
    isStream: body.stream ?? false,
    wantsUsage: body.stream_options?.include_usage ?? false,
    tokens: promptTokens + messageTokens + maximumTokens * choices,
    maximumTokens,
    prefix: `${body.model}\n${toText(body.messages ?? body.prompt).slice(0, MAX_PREFIX_CHARACTERS)}`,
    body,
  };
}

/** Builds the body for the engine, with the engine's model id, the resolved token limit and usage in streams. */
export function buildEngineBody(
  completion: Completion,
  engineModel: string,
  priority: number,
): string {
  return JSON.stringify({
    ...completion.body,
    model: engineModel,
    max_tokens: completion.maximumTokens,
    max_completion_tokens: undefined,
    priority,
    ...(completion.isStream ? { stream_options: { include_usage: true } } : {}),
  });
}
