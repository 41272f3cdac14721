import { z } from 'zod';
import type { PeerMessage } from '../../ports/peers.js';

const id = z.string().min(1).max(128);
const count = z.number().min(0);
const numbersById = z.record(z.string(), z.number());

const peerMessage = z.discriminatedUnion('type', [
  z.object({ type: z.literal('hello'), host: id, incarnation: id }),
  z.object({
    type: z.literal('heartbeat'),
    host: id,
    incarnation: id,
    bundleVersion: z.int().min(0),
    withdrawalsDigest: z.string(),
    ledgerRevision: z.int().min(0),
    levels: numbersById,
    inFlight: numbersById,
    demand: numbersById,
    refused: numbersById,
    slots: z.int().min(0),
  }),
  z.object({ type: z.literal('loanRequest'), id, organisation: id, units: count }),
  z.object({ type: z.literal('loanReply'), id, units: count, level: z.number() }),
  z.object({ type: z.literal('loanSettlement'), id, organisation: id, units: count }),
  z.object({
    type: z.literal('factsRequest'),
    id,
    bundleVersion: z.int().min(0),
    ledgerRevision: z.int().min(0),
  }),
  z.object({
    type: z.literal('factsReply'),
    id,
    bundle: z.string().optional(),
    withdrawals: z.array(z.string()),
    ledger: z.object({ revision: z.int().min(0), text: z.string() }).optional(),
  }),
  z.object({ type: z.literal('withdrawalNotice'), signed: z.array(z.string()) }),
]);

/** Validates a decoded frame as a peer message; throws when it is not one. */
export function parsePeerMessage(value: unknown): PeerMessage {
  return peerMessage.parse(value);
}
