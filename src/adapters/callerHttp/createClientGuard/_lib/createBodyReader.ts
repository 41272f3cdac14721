import type { IncomingMessage } from 'node:http';
import { chooseBodyToEnd } from '../../../../decisions/clientLimits/chooseBodyToEnd/index.js';
import { isTooSlow } from '../../../../decisions/clientLimits/isTooSlow/index.js';
import {
  MemoryPurpose,
  SMALL_BODY_BYTES,
} from '../../../../decisions/clientLimits/mayReserve/index.js';
import type { BodyProgress, ClientLimits } from '../../../../decisions/clientLimits/types.js';
import type { Clock } from '../../../../ports/clock.js';
import { BodyFailure, ClientRejection } from '../types.js';
import { createChunkBuffer } from '../../../../common/createChunkBuffer.js';
import type { MemoryBudget, Reservation } from './createMemoryBudget.js';

/** Options of a body reader. */
export interface BodyReaderOptions {
  limits: ClientLimits;
  clock: Clock;
  budget: MemoryBudget;
  countRejection: (reason: ClientRejection) => void;
}

/** Reads bodies of requests within the limits. */
export interface BodyReader {
  /** The reservation keeps what the body holds when it has been read. */
  read: (
    incoming: IncomingMessage,
    reservation: Reservation,
    maximumBytes: number,
  ) => Promise<Buffer | BodyFailure>;
  /** Ends the bodies that make too little progress; to be called at regular times. */
  check: () => void;
  /** Lets waiting bodies go on; to be called when memory has been released. */
  resumeWaiting: () => void;
}

interface OpenBody extends BodyProgress {
  reservation: Reservation;
  spanStartedAtMs: number;
  spanStartBytes: number;
  checkedBytes: number;
  /** Memory that the body waits for; 0 if it does not wait. */
  wantedBytes: number;
  resume: () => void;
  finish: (result: Buffer | BodyFailure) => void;
}

const EMPTY_BODY = Buffer.alloc(0);
const FIRST_RESERVATION_BYTES = 16_384; // of a body that announces no length
/** After a longer time without a check the process was paused: bytes have arrived that it has not read. */
const MAX_CHECK_GAP_MS = 2000;
const MIN_CHUNKS = 256; // the first chunks may be small
const SMALL_CHUNK_BYTES = 64; // on average; such a body costs a host more time than memory

/** Creates a reader of bodies. */
export function createBodyReader(options: BodyReaderOptions): BodyReader {
  const { limits, clock, budget, countRejection } = options;
  const receiving = new Set<OpenBody>();
  /** Bodies that are paused until memory is free, in the order of their arrival. */
  const waiting = new Set<OpenBody>();
  let fragmentedBodies = 0;
  let checkedAtMs = clock.monotonicMs();

  const reject = (body: OpenBody, failure: BodyFailure, reason: ClientRejection): void => {
    countRejection(reason);
    body.finish(failure);
  };
  /** Reserves memory; if necessary, in place of bodies that do not make progress. */
  const reserve = (reservation: Reservation, bytes: number, purpose: MemoryPurpose): boolean => {
    const nowMs = clock.monotonicMs();
    while (!budget.reserve(reservation, bytes, purpose)) {
      const stalled = chooseBodyToEnd(receiving, nowMs);
      if (stalled === undefined) return false;
      reject(stalled, BodyFailure.noMemory, ClientRejection.noMemory);
    }
    return true;
  };

  const read: BodyReader['read'] = (incoming, reservation, maximumBytes) => {
    const { headers } = incoming;
    const announced =
      headers['content-length'] === undefined ? undefined : Number(headers['content-length']);
    if (announced !== undefined && announced > maximumBytes) {
      countRejection(ClientRejection.bodyTooLarge);
      return Promise.resolve(BodyFailure.tooLarge);
    }
    if (
      announced === 0 ||
      (announced === undefined && headers['transfer-encoding'] === undefined)
    ) {
      incoming.resume();
      return Promise.resolve(EMPTY_BODY);
    }
    const overheadBytes = reservation.bytes;
    const largestBytes = announced ?? maximumBytes;
    const isLarge = largestBytes > SMALL_BODY_BYTES;
    const firstBytes = announced ?? Math.min(FIRST_RESERVATION_BYTES, maximumBytes);
    const mayBegin =
      announced !== undefined && isLarge
        ? waiting.size === 0 && reserve(reservation, firstBytes, MemoryPurpose.large)
        : reserve(reservation, firstBytes, MemoryPurpose.small);
    const mayWait =
      !mayBegin && isLarge && budget.reserve(reservation, SMALL_BODY_BYTES, MemoryPurpose.waiting);
    if (!mayBegin && !mayWait) {
      countRejection(ClientRejection.noMemory);
      return Promise.resolve(BodyFailure.noMemory);
    }
    return new Promise((resolve) => {
      const nowMs = clock.monotonicMs();
      const buffer = createChunkBuffer(announced);
      let chunkCount = 0;
      let isFragmented = false;
      const body: OpenBody = {
        reservation,
        receivedBytes: 0,
        reservedBytes: reservation.bytes - overheadBytes,
        progressAtMs: nowMs,
        spanStartedAtMs: nowMs,
        spanStartBytes: 0,
        checkedBytes: 0,
        wantedBytes: 0,
        resume: () => {
          body.reservedBytes = reservation.bytes - overheadBytes;
          body.wantedBytes = 0;
          startSpan(body, clock.monotonicMs());
          waiting.delete(body);
          receiving.add(body);
          incoming.resume();
        },
        finish: (result) => {
          const wasOpen = receiving.delete(body) || waiting.delete(body);
          if (!wasOpen) return;
          if (isFragmented) fragmentedBodies -= 1;
          // What a listener or the buffer still refers to outlives many requests: it is moved to the old
          // generation of the heap, whose collections cost far more than those of the young one.
          incoming.off('data', handleChunk);
          incoming.off('end', handleEnd);
          incoming.off('error', handleCut);
          incoming.off('close', handleCut);
          buffer.drop();
          const heldBytes = Buffer.isBuffer(result) ? result.length : 0;
          budget.release(reservation, overheadBytes + heldBytes);
          resolve(result);
          resumeWaiting();
        },
      };
      const startWaiting = (): void => {
        body.wantedBytes = largestBytes - body.reservedBytes;
        body.spanStartedAtMs = clock.monotonicMs();
        receiving.delete(body);
        waiting.add(body);
        incoming.pause();
      };
      /** Reserves the longest that the body may become, or makes it wait for the memory. */
      const reserveRest = (): void => {
        const bytes = largestBytes - body.reservedBytes;
        const purpose = isLarge ? MemoryPurpose.large : MemoryPurpose.small;
        // The reservation may end bodies that stand still; this one has just received a chunk.
        body.progressAtMs = clock.monotonicMs();
        if (waiting.size === 0 && reserve(reservation, bytes, purpose)) body.reservedBytes += bytes;
        else startWaiting();
      };
      const mayBeFragmented = (): boolean => {
        if (isFragmented) return true;
        if (fragmentedBodies >= limits.maximumFragmentedBodies) return false;
        fragmentedBodies += 1;
        isFragmented = true;
        return true;
      };
      const handleChunk = (chunk: Buffer): void => {
        body.receivedBytes += chunk.length;
        chunkCount += 1;
        if (body.receivedBytes > maximumBytes) {
          reject(body, BodyFailure.tooLarge, ClientRejection.bodyTooLarge);
          return;
        }
        const isSmall =
          chunkCount >= MIN_CHUNKS && body.receivedBytes < SMALL_CHUNK_BYTES * chunkCount;
        if (isSmall && !mayBeFragmented()) {
          reject(body, BodyFailure.noMemory, ClientRejection.smallChunks);
          return;
        }
        buffer.add(chunk);
        const isWaiting = body.wantedBytes > 0;
        if (body.receivedBytes > body.reservedBytes && !isWaiting) reserveRest();
      };
      const handleEnd = (): void => body.finish(buffer.finish());
      const handleCut = (): void => body.finish(BodyFailure.cut);
      receiving.add(body);
      incoming.on('data', handleChunk);
      if (mayWait) startWaiting();
      incoming.on('end', handleEnd);
      // An error tells that the client disconnected, and so does a close before the end.
      incoming.on('error', handleCut);
      incoming.on('close', handleCut);
    });
  };

  const resumeWaiting = (): void => {
    for (const body of waiting) {
      if (!budget.reserve(body.reservation, body.wantedBytes, MemoryPurpose.large)) return;
      body.resume();
    }
  };
  const startSpan = (body: OpenBody, nowMs: number): void => {
    body.progressAtMs = nowMs;
    body.spanStartedAtMs = nowMs;
    body.spanStartBytes = body.receivedBytes;
  };
  const checkProgress = (body: OpenBody, nowMs: number): void => {
    if (body.receivedBytes > body.checkedBytes) body.progressAtMs = nowMs;
    body.checkedBytes = body.receivedBytes;
    const { spanStartedAtMs: startedAtMs, spanStartBytes: startBytes, receivedBytes } = body;
    if (isTooSlow({ startedAtMs, startBytes, receivedBytes }, limits, nowMs))
      reject(body, BodyFailure.tooSlow, ClientRejection.bodyTooSlow);
    else if (nowMs - startedAtMs >= limits.bodySpanMs) {
      body.spanStartedAtMs = nowMs;
      body.spanStartBytes = receivedBytes;
    }
  };
  const check = (): void => {
    const nowMs = clock.monotonicMs();
    const wasPaused = nowMs - checkedAtMs > MAX_CHECK_GAP_MS;
    checkedAtMs = nowMs;
    for (const body of receiving) {
      if (wasPaused) startSpan(body, nowMs);
      else checkProgress(body, nowMs);
    }
    for (const body of waiting)
      if (nowMs - body.spanStartedAtMs >= limits.bodySpanMs)
        reject(body, BodyFailure.noMemory, ClientRejection.noMemory);
    resumeWaiting();
  };
  return { read, check, resumeWaiting };
}
