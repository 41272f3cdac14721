import js from '@eslint/js';
import tseslint from 'typescript-eslint';
import { verbs } from './scripts/verbs.mjs';

const verbPattern = `^(${verbs.join('|')})([A-Z0-9].*)?$`;

export default tseslint.config(
  { ignores: ['dist/', 'dist-tools/', 'node_modules/', 'target/'] },
  js.configs.recommended,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'tests/**/*.ts', 'demo/**/*.ts', 'bench/**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: {
        project: ['tsconfig.json', 'tsconfig.tools.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'function',
          format: ['camelCase'],
          custom: { regex: verbPattern, match: true },
        },
        { selector: 'typeLike', format: ['PascalCase'] },
      ],
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      // modern-errors types its errors structurally, which the rule does not see through.
      '@typescript-eslint/only-throw-error': [
        'error',
        {
          allow: [
            {
              from: 'package',
              name: ['SpecificErrorInstance', 'ErrorInstance'],
              package: 'modern-errors',
            },
          ],
        },
      ],
      // A subtest reports its own end.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafePromises: [
            { from: 'package', name: 'PromiseWithSubtest', package: '@tapjs/core' },
          ],
        },
      ],
      'max-lines': ['error', { max: 300, skipBlankLines: false }],
    },
  },
  {
    files: ['scripts/**/*.mjs', 'tests/**/*.mjs', 'eslint.config.js'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        setTimeout: 'readonly',
        clearTimeout: 'readonly',
        URL: 'readonly',
        fetch: 'readonly',
        Buffer: 'readonly',
        AbortSignal: 'readonly',
        performance: 'readonly',
      },
    },
  },
);
