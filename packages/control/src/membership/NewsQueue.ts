/**
 * Changes of members that are still to be told to others.
 */
import type MemberRecord from './MemberRecord.js';

/** Changes kept at once; the one told most often is dropped. */
const MAX_RECORDS = 512;
/** Each change is told this many times, times the logarithm of the number of members. */
const TELLINGS_FACTOR = 3;

interface News {
  readonly record: MemberRecord;
  tellings: number;
}

/** The newest change of each member, those told least often first. */
export default class NewsQueue {
  private readonly news = new Map<string, News>();

  addRecord(record: MemberRecord): void {
    this.news.delete(record.address);
    this.news.set(record.address, { record, tellings: 0 });
    if (this.news.size > MAX_RECORDS) {
      this.dropMostTold();
    }
  }

  /** Takes up to `limit` changes for one message to a fleet of the given size. */
  takeRecords(limit: number, members: number): readonly MemberRecord[] {
    const maxTellings = Math.ceil(TELLINGS_FACTOR * Math.log2(members + 2));
    const chosen = [...this.news.values()].sort((a, b) => a.tellings - b.tellings).slice(0, limit);
    chosen.forEach((item) => {
      Object.assign(item, { tellings: item.tellings + 1 });
      if (item.tellings >= maxTellings) {
        this.news.delete(item.record.address);
      }
    });
    return chosen.map(({ record }) => record);
  }

  count(): number {
    return this.news.size;
  }

  private dropMostTold(): void {
    const [first, ...rest] = this.news.values();
    const most = rest.reduce((a, b) => (b.tellings > (a?.tellings ?? -1) ? b : a), first);
    if (most !== undefined) {
      this.news.delete(most.record.address);
    }
  }
}
