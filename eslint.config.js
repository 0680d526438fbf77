import { configs, plugins } from 'eslint-config-airbnb-extended';

/** The Airbnb rules for TypeScript; docs/STYLE.md gives the reason for each deviation below. */
export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'out/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // Prettier does the formatting.
      '@stylistic/max-len': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/no-mixed-operators': 'off',
      '@stylistic/nonblock-statement-body-position': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/wrap-iife': 'off',
      '@stylistic/quotes': 'off',
      curly: 'off',
      // Loops with await are sequential on purpose; for-of iterates over maps without a copy.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      // `void` marks a promise that is not awaited.
      'no-void': 'off',
      // Files are read synchronously at startup and on SIGHUP, outside request handling.
      'n/no-sync': 'off',
      // Hash functions use bitwise operators.
      'no-bitwise': ['error', { allow: ['^', '>>>'] }],
      // The functions of a controller change its state in place.
      'no-param-reassign': ['error', { props: false }],
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
      // Modules have named exports only, and there are no index files.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-cycle': 'error',
      'import-x/no-rename-default': 'off',
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/hashbang': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
    },
  },
  {
    files: ['**/*-main.ts', '**/hemlocksill.ts', '**/bench/src/**'],
    rules: { 'no-console': 'off', 'n/no-process-exit': 'off' },
  },
];
