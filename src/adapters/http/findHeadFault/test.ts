import t from 'tap';
import { findHeadFault } from './index.js';

const HEAD = { protocols: ['HTTP/1.1'], status: 200, reason: 'OK', headers: {} };

t.test('takes interim and final heads of HTTP/1.0 and HTTP/1.1', (t) => {
  for (const status of [100, 103, 200, 204, 304, 421, 599])
    t.equal(findHeadFault({ ...HEAD, status }), undefined, `${status}`);
  t.equal(findHeadFault({ ...HEAD, protocols: ['HTTP/1.1', 'HTTP/1.0'] }), undefined);
  t.equal(findHeadFault({ ...HEAD, reason: 'all\t\u00e4' }), undefined);
  t.equal(findHeadFault({ ...HEAD, headers: { 'transfer-encoding': 'Chunked ' } }), undefined);
  t.end();
});

t.test('names what makes a head none of an answer', (t) => {
  for (const status of [0, 99, 101, 600, 999])
    t.match(findHeadFault({ ...HEAD, status }), `status ${status}`);
  for (const protocol of ['HTTP/2.0', 'HTTP/0.9', 'RTSP/1.0', 'http/1.1'])
    t.match(findHeadFault({ ...HEAD, protocols: ['HTTP/1.1', protocol] }), protocol);
  t.match(findHeadFault({ ...HEAD, reason: 'O\0K' }), 'control byte');
  for (const coding of ['', 'gzip', 'gzip, chunked', 'chunked\t', ['chunked', 'chunked']])
    t.match(findHeadFault({ ...HEAD, headers: { 'transfer-encoding': coding } }), 'coding');
  const headers = { 'transfer-encoding': 'chunked' };
  t.match(findHeadFault({ ...HEAD, protocols: ['HTTP/1.0'], headers }), 'HTTP/1.0');
  t.end();
});
