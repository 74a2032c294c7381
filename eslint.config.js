import tseslint from 'typescript-eslint';
import jsdoc from 'eslint-plugin-jsdoc';

const EXPORTED_ONLY = {
  publicOnly: true,
  require: {
    ClassDeclaration: true,
    FunctionDeclaration: true,
    MethodDefinition: false,
  },
  contexts: [
    'ExportNamedDeclaration > TSInterfaceDeclaration',
    'ExportNamedDeclaration > TSTypeAliasDeclaration',
    'ExportNamedDeclaration > VariableDeclaration',
  ],
};

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'coverage/**'] },
  ...tseslint.configs.recommended,
  {
    files: ['src/**/*.ts', 'bench/**/*.ts'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': ['error', EXPORTED_ONLY],
      'jsdoc/require-file-overview': 'off',
    },
  },
  {
    rules: {
      eqeqeq: 'error',
      'no-throw-literal': 'error',
      'prefer-const': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      'max-lines': ['error', { max: 500, skipBlankLines: true, skipComments: true }],
    },
  },
);
