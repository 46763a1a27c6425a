/**
 * An item of a list in a configuration file.
 */

/** `index` is the item's position in the file. */
interface DraftItem<Item> {
  readonly index: number;
  readonly item: Item;
}

export default DraftItem;
