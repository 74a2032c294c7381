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

/** A revision alone says nothing of the order: the store gives it out again when it comes back from a copy. */
const BARE_REVISIONS = [
  'Identifier[name=/[rR]evision$/]',
  'MemberExpression[property.name=/[rR]evision$/]',
].map((operand) => ({
  selector: `BinaryExpression[operator=/^([<>]=?|[!=]==)$/] > ${operand}`,
  message: 'Compare positions of the store (cluster/store-position.ts), not revisions.',
}));

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
    files: [
      'platform/**/*.ts',
      ...['cluster', 'gateway', 'rollout', 'routing', 'slot-agent'].map(
        (dir) => `src/${dir}/**/*.ts`,
      ),
    ],
    ignores: ['src/cluster/store-position.ts'],
    rules: { 'no-restricted-syntax': ['error', ...BARE_REVISIONS] },
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
