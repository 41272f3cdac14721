import { isLeft, isRight, right } from 'fp-ts/lib/Either.js';
import t from 'tap';
import { placementSettings } from '../programs/placement/settings.js';
import { checkSettings, parseInteger, parseOptional, parseText } from './index.js';

const definitions = {
  port: { flag: 'port', variable: 'PORT', description: '', unit: '', parse: parseInteger(0, 9) },
  name: {
    flag: 'name',
    variable: 'NAME',
    description: '',
    unit: '',
    fallback: 'x',
    parse: parseText(),
  },
};

t.test('prefers flags to environment variables, and both to defaults', (t) => {
  const checked = checkSettings(definitions, { port: '1' }, { PORT: '2', NAME: 'y' });
  t.strictSame(isRight(checked) ? checked.right : undefined, { port: 1, name: 'y' });
  t.end();
});

t.test('reports all findings with flag and environment variable', (t) => {
  const checked = checkSettings(definitions, { port: 'many', prot: '1' }, { NAME: '' });
  t.strictSame(isLeft(checked) ? checked.left.map(({ setting }) => setting) : [], [
    '--prot',
    '--port (PORT)',
    '--name (NAME)',
  ]);
  t.end();
});

t.test('requires settings without a default', (t) => {
  const checked = checkSettings(placementSettings, {}, {});
  t.ok(isLeft(checked) && checked.left.some(({ message }) => message === 'is required'));
  t.end();
});

t.test('a setting of a deployment that lacks it is empty, and is not taken as a number', (t) => {
  const parse = parseOptional(parseInteger(1000, 60_000));
  t.strictSame([parse(''), parse('5000')], [right(undefined), right(5000)]);
  for (const text of ['0', ' ', '-1', 'NaN', '{{bounds.evacuate_ms}}'])
    t.ok(isLeft(parse(text)), text);
  t.end();
});
