import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';

export default [
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      'packages/protocol/src/gen/**',
      '**/__snapshots__/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    settings: {
      // Packages are resolved to their sources, so that linting needs no build.
      'import-x/resolver-next': [
        createTypeScriptImportResolver({
          conditionNames: ['source', 'types', 'import', 'node', 'default'],
        }),
      ],
    },
    rules: {
      // Relative imports name the emitted file, as Node.js resolves them.
      'import-x/extensions': 'off',
      // The type check resolves imports, by the workspace's own export condition.
      'import-x/no-unresolved': 'off',
      // A class that implements an interface may have methods without state.
      'class-methods-use-this': 'off',
      // Sequential awaits are the straight-line tasks that the house style asks for.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': 'off',
      'no-underscore-dangle': ['error', { allow: ['_tag'] }],
      'import-x/prefer-default-export': 'error',
      'import-x/no-named-export': 'off',
    },
  },
  {
    // A command's exit code is its answer.
    files: ['**/main.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      'no-unused-expressions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['**/*.mjs', 'scripts/bundle/*.cjs'],
    rules: {
      'import-x/no-unresolved': 'off',
      'n/no-sync': 'off',
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
];
