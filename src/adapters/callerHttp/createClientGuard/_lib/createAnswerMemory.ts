import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { chooseBodyToEnd } from '../../../../decisions/clientLimits/chooseBodyToEnd/index.js';
import {
  MemoryPurpose,
  SMALL_BODY_BYTES,
} from '../../../../decisions/clientLimits/mayReserve/index.js';
import type { ClientLimits } from '../../../../decisions/clientLimits/types.js';
import type { Clock } from '../../../../ports/clock.js';
import { ClientRejection } from '../types.js';
import type { MemoryBudget, Reservation } from './createMemoryBudget.js';

/** Options of the memory of answers. */
export interface AnswerMemoryOptions {
  limits: Pick<ClientLimits, 'bodySpanMs'>;
  clock: Clock;
  budget: MemoryBudget;
  countRejection: (reason: ClientRejection) => void;
}

/** An answer that has not been sent completely. */
export interface OpenAnswer {
  response: ServerResponse;
  socket: Socket;
  /** Memory of the request, which includes what has been reserved for its answer. */
  reservation: Reservation;
  /** Bytes of the answer in `reservation`. */
  answerBytes: number;
  writtenBytes: number;
  progressAtMs: number;
}

/** Bounds the memory of answers: those that wait for their readers, and those that are read whole. */
export interface AnswerMemory {
  open: (answer: Pick<OpenAnswer, 'response' | 'socket' | 'reservation'>) => OpenAnswer;
  /** Ends the bookkeeping of an answer; its memory has been released. */
  close: (answer: OpenAnswer) => void;
  /** Reserves memory before an answer is read; resolves to false if it finds none in time. */
  reserve: (answer: OpenAnswer, bytes: number) => Promise<boolean>;
  /** Ends answers that are not read, and waits that last too long; to be called at regular times. */
  check: () => void;
  /** Lets waiting answers go on; to be called when memory has been released. */
  resumeWaiting: () => void;
}

interface WaitingAnswer {
  wantedBytes: number;
  sinceMs: number;
  resolve: (isReserved: boolean) => void;
}

/** Creates the bookkeeping of the memory of answers. */
export function createAnswerMemory(options: AnswerMemoryOptions): AnswerMemory {
  const { limits, clock, budget, countRejection } = options;
  const answers = new Set<OpenAnswer>();
  /** Answers that are not read further until memory is free, in the order of their arrival. */
  const waiting = new Map<OpenAnswer, WaitingAnswer>();

  const tryReserve = (answer: OpenAnswer, bytes: number, purpose: MemoryPurpose): boolean => {
    if (!budget.reserve(answer.reservation, bytes, purpose)) return false;
    answer.answerBytes += bytes;
    return true;
  };
  const reserve: AnswerMemory['reserve'] = (answer, bytes) => {
    // A request that must not run twice goes on without its client; nothing would release a reservation.
    if (!answers.has(answer)) return Promise.resolve(budget.getExcessBytes() + bytes <= 0);
    const isLarge = answer.answerBytes + bytes > SMALL_BODY_BYTES;
    const purpose = isLarge ? MemoryPurpose.large : MemoryPurpose.small;
    const mayPass = !isLarge || waiting.size === 0;
    if (mayPass && tryReserve(answer, bytes, purpose)) return Promise.resolve(true);
    // A paused answer holds what the client of the server has read of it already.
    const firstBytes = Math.min(bytes, SMALL_BODY_BYTES);
    if (!isLarge || !tryReserve(answer, firstBytes, MemoryPurpose.waiting)) {
      countRejection(ClientRejection.noMemory);
      return Promise.resolve(false);
    }
    const sinceMs = clock.monotonicMs();
    return new Promise((resolve) => {
      waiting.set(answer, { wantedBytes: bytes - firstBytes, sinceMs, resolve });
    });
  };
  const resumeWaiting = (): void => {
    for (const [answer, { wantedBytes, resolve }] of waiting) {
      if (!tryReserve(answer, wantedBytes, MemoryPurpose.large)) return;
      waiting.delete(answer);
      resolve(true);
    }
  };

  /** Counts what waits for readers beyond the reservations, and lists the answers that wait. */
  const listUnread = (nowMs: number) => {
    let unreservedBytes = 0;
    const unread: (OpenAnswer & { reservedBytes: number })[] = [];
    for (const answer of answers) {
      const { response, socket } = answer;
      const unreadBytes = response.writableLength;
      // Answers that wait behind others share the progress of their connection.
      if (unreadBytes === 0 || socket.bytesWritten > answer.writtenBytes)
        answer.progressAtMs = nowMs;
      answer.writtenBytes = socket.bytesWritten;
      if (unreadBytes === 0) continue;
      unreservedBytes += Math.max(0, unreadBytes - answer.answerBytes);
      const reservedBytes = Math.max(unreadBytes, answer.answerBytes);
      unread.push(Object.assign(answer, { reservedBytes }));
    }
    return { unreservedBytes, unread: new Set(unread) };
  };
  const check = (): void => {
    const nowMs = clock.monotonicMs();
    for (const [answer, { sinceMs, resolve }] of waiting) {
      if (nowMs - sinceMs < limits.bodySpanMs) break;
      waiting.delete(answer);
      countRejection(ClientRejection.noMemory);
      resolve(false);
    }
    const { unreservedBytes, unread } = listUnread(nowMs);
    budget.setAnswerBytes(unreservedBytes);
    const [first] = waiting.values();
    let neededBytes = Math.max(budget.getExcessBytes(), first?.wantedBytes ?? 0);
    while (neededBytes > 0) {
      const slowest = chooseBodyToEnd(unread, nowMs);
      if (slowest === undefined) break;
      unread.delete(slowest);
      neededBytes -= slowest.reservedBytes;
      countRejection(ClientRejection.slowReader);
      // A reset, so that a partial answer cannot be taken for a complete one.
      slowest.socket.resetAndDestroy();
    }
    resumeWaiting();
  };

  return {
    open: ({ response, socket, reservation }) => {
      const progressAtMs = clock.monotonicMs();
      const state = { answerBytes: 0, writtenBytes: 0, progressAtMs };
      const answer: OpenAnswer = { response, socket, reservation, ...state };
      answers.add(answer);
      return answer;
    },
    close: (answer) => {
      answers.delete(answer);
      waiting.get(answer)?.resolve(false);
      waiting.delete(answer);
    },
    reserve,
    check,
    resumeWaiting,
  };
}
