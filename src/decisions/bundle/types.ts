import { z } from 'zod';
import { MAX_RATE_TOKENS_PER_SECOND } from '../rate/constants/index.js';

/** Request classes, most urgent first. */
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
  /** Number of engines that capacity checks assume. */
  engines: z.int().min(2),
  /** Accelerator memory of each engine in bytes. */
  memoryBytes: bytes,
  /** Requests that one engine runs concurrently. */
  window: z.int().min(1).max(4096).default(16),
});

const model = z.strictObject({
  name,
  version,
  service: name,
  bytes,
  /** Minimum number of replicas. */
  replicas: z.int().min(1).default(1),
  class: requestClass.default(RequestClass.standard),
  /** Longest time in milliseconds that a request waits for its start. */
  deadlineMs: deadlineMs.optional(),
});

const adapter = z.strictObject({ name, version, model: name, bytes });

const route = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Exact path, or a prefix when it ends in `/*`. */
  path: z.string().regex(/^\/[^?#\s]*$/, { error: 'must be a path that starts with /' }),
  service: name,
  /** Whether an attempt that may have been executed can be retried. */
  idempotent: z.boolean(),
  /** Accepts requests without an API key. */
  open: z.boolean().default(false),
  class: requestClass.default(RequestClass.standard),
  deadlineMs: deadlineMs.optional(),
  /** Tokens charged for each request. */
  tokens: z.int().min(0).default(1),
});

const organisation = z.strictObject({
  name,
  /** Tokens per second over all hosts together. */
  rate: tokens,
  /** Maximum burst in tokens over all hosts together. */
  burst: tokens,
  /** SHA-256 digests of the keys, in hexadecimal. */
  keys: z.array(z.string().regex(/^[0-9a-f]{64}$/, { error: 'must be a SHA-256 digest in hex' })),
  /** Models and adapters that the organisation may use; all when omitted. */
  models: z.array(name).optional(),
});

const limits = z.strictObject({
  /** Model loads that the weight store can start per second. */
  loadsPerSecond: z.number().positive(),
  /** Concurrent model loads that the weight store serves at full speed. */
  loadsAtOnce: z.int().min(1),
  /** Maximum adapter loads in flight over all engines. */
  adaptersInFlight: z.int().min(1),
});

/** Schema of an operator's bundle. */
export const bundleSchema = z.strictObject({
  version: z.int().min(1),
  services: z.array(modelService).min(1),
  models: z.array(model).min(1),
  adapters: z.array(adapter).default([]),
  /** Services without models, to which the routes refer. */
  plainServices: z.array(name).default([]),
  routes: z.array(route).default([]),
  organisations: z.array(organisation).min(1),
  limits,
});

/** Configuration that the operators sign: services, models, routes, organisations and limits. */
export type Bundle = z.infer<typeof bundleSchema>;
export type BundleModel = Bundle['models'][number];
export type BundleAdapter = Bundle['adapters'][number];
export type BundleRoute = Bundle['routes'][number];
export type Organisation = Bundle['organisations'][number];
export type ModelService = Bundle['services'][number];

/** A problem in a bundle and its location. */
export interface Finding {
  /** Path such as `models[3].service`. */
  path: string;
  /** Line in the YAML text, from 1; 0 when unknown. */
  line: number;
  message: string;
}

/** A verified bundle with its signer and digest. */
export interface SignedBundle {
  bundle: Bundle;
  /** Key id of the operator key that signed it. */
  signer: string;
  /** SHA-256 of the signed text. */
  digest: string;
}
