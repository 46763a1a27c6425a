/**
 * Reading of feature files.
 */
import { readFile } from 'node:fs/promises';
import { AstBuilder, compile, GherkinClassicTokenMatcher, Parser } from '@cucumber/gherkin';
import { IdGenerator, type Pickle } from '@cucumber/messages';

/** Scenarios of a feature file, with outlines expanded and background steps put in front. */
export default async function readFeature(file: string): Promise<readonly Pickle[]> {
  const newId = IdGenerator.incrementing();
  const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher());
  const document = parser.parse(await readFile(file, 'utf8'));
  return compile(document, file, newId);
}
