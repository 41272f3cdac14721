import { z } from 'zod';
import { createRefusal } from './refusals.js';

const MAX_TOKENS = 1_000_000;
const MAX_CHOICES = 16;
const PREFIX_CHARACTERS = 512;
/** Tokens that a chat template adds to each message, at most. */
const TOKENS_PER_MESSAGE = 8;

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

/** A completion or chat completion as its caller asked for it. */
export interface Completion {
  /** Model or adapter by its name in the bundle. */
  model: string;
  isStream: boolean;
  /** Whether the caller asked for usage figures in the stream. */
  wantsUsage: boolean;
  /** Most tokens that prompt and output can cost together. */
  tokens: number;
  /** Output tokens that the engine may generate for each choice. */
  maximumTokens: number;
  /** Start of the prompt, by which requests are kept together. */
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

/** Options of reading a completion. */
export interface ParseCompletionOptions {
  promptBytesPerToken: number;
  defaultMaximumTokens: number;
  isChat: boolean;
}

/** Parses the body of a completion; rejects with what is wrong in it. */
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
  const needed = options.isChat ? 'messages' : 'prompt';
  if (body[needed] === undefined)
    throw createRefusal(400, 'body_invalid', `${needed}: is required`);
  const maximumTokens =
    body.max_completion_tokens ?? body.max_tokens ?? options.defaultMaximumTokens;
  const choices = Math.max(body.n ?? 1, body.best_of ?? 1);
  const messageTokens = (body.messages?.length ?? 0) * TOKENS_PER_MESSAGE;
  const promptTokens = Math.ceil(countPromptBytes(body) / options.promptBytesPerToken);
  return {
    model: body.model,
    isStream: body.stream ?? false,
    wantsUsage: body.stream_options?.include_usage ?? false,
    tokens: promptTokens + messageTokens + maximumTokens * choices,
    maximumTokens,
    prefix: `${body.model}\n${toText(body.messages ?? body.prompt).slice(0, PREFIX_CHARACTERS)}`,
    body,
  };
}

/** Builds the body that goes to the engine. */
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
