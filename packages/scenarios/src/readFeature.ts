/**
 * Reading of feature files.
 */
import { readFileSync } from 'node:fs';
import { AstBuilder, compile, GherkinClassicTokenMatcher, Parser } from '@cucumber/gherkin';
import { IdGenerator, type Pickle } from '@cucumber/messages';

/** Scenarios of a feature file, with outlines expanded and background steps put in front. */
export default function readFeature(file: string): readonly Pickle[] {
  const newId = IdGenerator.incrementing();
  const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher());
  // eslint-disable-next-line n/no-sync -- the test runner registers tests synchronously
  const document = parser.parse(readFileSync(file, 'utf8'));
  return compile(document, file, newId);
}
