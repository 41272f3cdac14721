import { z } from 'zod';

const keyValue = z.object({
  value: z.string().default(''),
  mod_revision: z.coerce.number().default(0),
});

/** Response of `/v3/kv/range`. */
export const rangeReply = z.object({ kvs: z.array(keyValue).default([]) });

/** Response of `/v3/kv/txn`. */
export const transactionReply = z.object({
  header: z.object({ revision: z.coerce.number() }),
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: rangeReply.optional() })).default([]),
});

/** Response of `/v3/lease/grant`. */
export const leaseReply = z.object({ ID: z.string() });

/** Response of `/v3/lease/keepalive`; it has no TTL when the lease has expired. */
export const keepAliveReply = z.object({
  result: z.object({ TTL: z.coerce.number().default(0) }),
});

/** One line of the response stream of `/v3/watch`. */
export const watchReply = z.object({
  result: z.object({
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    events: z.array(z.object({ type: z.string().default('PUT'), kv: keyValue })).default([]),
  }),
});

/** Encodes UTF-8 text as base64, as the gateway expects keys and values. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Decodes base64 from the gateway to UTF-8 text. */
export function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
