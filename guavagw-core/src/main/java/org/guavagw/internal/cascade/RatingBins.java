package org.guavagw.internal.cascade;

/** Splits ratings from 0 to 1 into equal bins, and bins into bands. Stateless. */
final class RatingBins {
  static final int BINS = 20;
  static final int BANDS = 4;
  static final double WIDTH = 1.0 / BINS;

  private static final double[] BAND_ENDS = {0.3, 0.55, 0.75};

  private RatingBins() {}

  static int bin(double rating) {
    return Math.min(BINS - 1, (int) (rating * BINS));
  }

  static double low(int bin) {
    return bin * WIDTH;
  }

  static double middle(int bin) {
    return (bin + 0.5) * WIDTH;
  }

  static int band(double rating) {
    int band = 0;
    while (band < BAND_ENDS.length && rating >= BAND_ENDS[band]) {
      band++;
    }
    return band;
  }
}
