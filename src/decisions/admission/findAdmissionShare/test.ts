import t from 'tap';
import { findAdmissionShare } from './index.js';

const level = {
  refusedShare: 0.5,
  classes: [
    { priority: 0, targetMs: 500, share: 1 },
    { priority: 1, targetMs: 500, share: 0.2 },
  ],
  organisations: [{ organisation: 'flood', priority: 0, targetMs: 500, share: 0.3 }],
  largeTokens: 9000,
  largeShare: 0.3,
  capacityInMs: 1000,
};
const request = { priority: 1, targetMs: 500, organisation: 'calm', tokens: 100 };

t.test('finds the share by class, organisation and size', (t) => {
  t.match(findAdmissionShare(level, request), { share: 0.2, reason: 'class' });
  t.match(findAdmissionShare(level, { ...request, tokens: 9000 }), { share: 0.3 });
  const flood = { ...request, priority: 0, organisation: 'flood' };
  t.match(findAdmissionShare(level, flood), { share: 0.3, reason: 'organisation' });
  t.end();
});

// Guards against a class that goes before more urgent ones because nobody asked for it lately.
t.test('an unknown class gets no more than more urgent ones', (t) => {
  t.match(findAdmissionShare(level, { ...request, priority: 2 }), { share: 0.2 });
  t.match(findAdmissionShare(level, { ...request, priority: 0, targetMs: 200 }), { share: 1 });
  t.end();
});
