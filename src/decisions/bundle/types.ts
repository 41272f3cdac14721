import { z } from 'zod';
import { MAX_RATE_TOKENS_PER_SECOND } from '../rate/constants/index.js';

/** Classes of requests, most urgent first. */
export const RequestClass = {
  interactive: 'interactive',
  standard: 'standard',
  batch: 'batch',
} as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/, {
  error: 'must be 1 to 128 letters, digits, dots, colons, underscores or hyphens',
});
const version = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, {
  error: 'must be 1 to 64 letters, digits, dots, underscores or hyphens (quote numbers)',
});
const bytes = z.int().positive();
const tokens = z.int().positive().max(MAX_RATE_TOKENS_PER_SECOND);
const requestClass = z.enum(RequestClass);
const deadlineMs = z.int().min(10).max(600_000);

const modelService = z.strictObject({
  name,
  /** Engines that the operators count on. */
  engines: z.int().min(2),
  /** Accelerator memory of each engine. */
  memoryBytes: bytes,
  /** Requests one engine runs at a time. */
  window: z.int().min(1).max(4096).default(16),
});

const model = z.strictObject({
  name,
  version,
  service: name,
  bytes,
  /** Copies that always stand. */
  replicas: z.int().min(1).default(1),
  class: requestClass.default(RequestClass.standard),
  /** Longest wait before a request starts. */
  deadlineMs: deadlineMs.optional(),
});

const adapter = z.strictObject({ name, version, model: name, bytes });

const route = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Exact path, or a prefix when it ends in `/*`. */
  path: z.string().regex(/^\/[^?#\s]*$/, { error: 'must be a path that starts with /' }),
  service: name,
  idempotent: z.boolean(),
  /** Runs without a key. */
  open: z.boolean().default(false),
  class: requestClass.default(RequestClass.standard),
  deadlineMs: deadlineMs.optional(),
  /** Tokens charged for each call. */
  tokens: z.int().min(0).default(1),
});

const organisation = z.strictObject({
  name,
  /** Tokens a second over all hosts together. */
  rate: tokens,
  /** Most tokens at once over all hosts together. */
  burst: tokens,
  /** SHA-256 digests of the keys, in hexadecimal. */
  keys: z.array(z.string().regex(/^[0-9a-f]{64}$/, { error: 'must be a SHA-256 digest in hex' })),
  /** Models and adapters that it may use; all when left out. */
  models: z.array(name).optional(),
});

const limits = z.strictObject({
  /** Model loads the weight store starts a second. */
  loadsPerSecond: z.number().positive(),
  /** Model loads at full speed at once. */
  loadsAtOnce: z.int().min(1),
  /** Adapter loads in flight over all engines. */
  adaptersInFlight: z.int().min(1),
});

/** Shape of an operator's bundle. */
export const bundleSchema = z.strictObject({
  version: z.int().min(1),
  services: z.array(modelService).min(1),
  models: z.array(model).min(1),
  adapters: z.array(adapter).default([]),
  plainServices: z.array(name).default([]),
  routes: z.array(route).default([]),
  organisations: z.array(organisation).min(1),
  limits,
});

export type Bundle = z.infer<typeof bundleSchema>;
export type BundleModel = Bundle['models'][number];
export type BundleAdapter = Bundle['adapters'][number];
export type BundleRoute = Bundle['routes'][number];
export type Organisation = Bundle['organisations'][number];
export type ModelService = Bundle['services'][number];

/** Something wrong in a bundle, with its place. */
export interface Finding {
  /** Path such as `models[3].service`. */
  path: string;
  /** Line in the YAML text, from 1; 0 when it has none. */
  line: number;
  message: string;
}

/** What a signed bundle says of its signer. */
export interface SignedBundle {
  bundle: Bundle;
  signer: string;
  /** SHA-256 of the signed text. */
  digest: string;
}
