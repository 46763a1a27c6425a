/**
 * The scraped metrics of target choices.
 */
import { expect } from 'chai';
import { Registry } from 'prom-client';
import ChoiceMetrics from '../../src/choice/ChoiceMetrics.js';

describe('ChoiceMetrics', () => {
  it('counts choices and in-flight requests by region, last resorts separately', async () => {
    const registry = new Registry();
    const metrics = new ChoiceMetrics(registry);
    metrics.recordChoice('catalogue', 'near', false, 0);
    metrics.recordChoice('catalogue', 'near', false, 0.2);
    metrics.recordChoice('catalogue', 'far', true, 0);
    metrics.recordEnd('catalogue', 'near');
    const text = await registry.metrics();
    expect(text).to.contain(
      'choices_total{service="catalogue",region="near",last_resort="false"} 2',
    );
    expect(text).to.contain('choices_total{service="catalogue",region="far",last_resort="true"} 1');
    expect(text).to.contain('requests_in_flight{service="catalogue",region="near"} 1');
    expect(text).to.contain('queue_wait_seconds_count{service="catalogue"} 1');
    expect(await registry.metrics()).to.equal(text);
  });
});
