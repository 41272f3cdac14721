import t from 'tap';
import { RequestClass } from '../../bundle/types.js';
import { recordServedTokens } from '../recordServedTokens/index.js';
import type { WaitingRequest } from '../types.js';
import { chooseNextRequest } from './index.js';

const waiting = (id: string, change: Partial<WaitingRequest> = {}): WaitingRequest => ({
  id,
  organisation: 'acme',
  class: RequestClass.standard,
  enqueuedAtMs: 0,
  deadlineAtMs: 10_000,
  ...change,
});

t.test('starts interactive requests before batch requests', (t) => {
  const queue = [
    waiting('report', { class: RequestClass.batch }),
    waiting('gate', { class: RequestClass.interactive }),
  ];
  t.equal(chooseNextRequest(queue, {}, 0)?.id, 'gate');
  t.end();
});

t.test('starts the organisation with the least service relative to its rate', (t) => {
  const queue = [
    waiting('a', { organisation: 'loud' }),
    waiting('b', { organisation: 'quiet', enqueuedAtMs: 5 }),
  ];
  t.equal(chooseNextRequest(queue, { loud: 10, quiet: 2 }, 6)?.id, 'b');
  t.end();
});

t.test('promotes a batch request after three quarters of its allowed wait', (t) => {
  const queue = [
    waiting('report', { class: RequestClass.batch }),
    waiting('plan', { enqueuedAtMs: 7000, deadlineAtMs: 20_000 }),
  ];
  t.equal(chooseNextRequest(queue, {}, 7400)?.id, 'plan');
  t.equal(chooseNextRequest(queue, {}, 7600)?.id, 'report');
  t.end();
});

t.test('gives an idle organisation no credit for idle time', (t) => {
  const served = recordServedTokens({ loud: 100 }, 'quiet', 10, 10, ['loud']);
  t.equal(served.quiet, 101);
  t.end();
});
