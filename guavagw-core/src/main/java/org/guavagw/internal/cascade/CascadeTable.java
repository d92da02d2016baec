package org.guavagw.internal.cascade;

import java.util.List;

/**
 * The best way through a cascade at a price of quality, by backward induction over its steps.
 *
 * <p>The value of an answer is the price times its rating; the value of a step is the value of what
 * it leads to, less its own cost. Immutable and thread-safe.
 */
final class CascadeTable {
  /** No step. */
  static final int NONE = -1;

  private final List<StepModel> models;
  private final double[] costs;
  private final boolean[] usable;
  private final double ratedShare;
  private final double price;
  private final Node[][] nodes;
  private final int[][] next;

  private CascadeTable(
      List<StepModel> models, double[] costs, boolean[] usable, double ratedShare, double price) {
    this.models = models;
    this.costs = costs;
    this.usable = usable;
    this.ratedShare = ratedShare;
    this.price = price;
    this.nodes = new Node[models.size()][AnswerContext.COUNT];
    this.next = new int[models.size()][AnswerContext.COUNT];
  }

  /** Works out the table; costs include what waiting counts. */
  static CascadeTable solve(
      List<StepModel> models, double[] costs, boolean[] usable, double ratedShare, double price) {
    CascadeTable table = new CascadeTable(models, costs, usable, ratedShare, price);
    for (int step = models.size() - 1; step >= 0; step--) {
      table.solve(step);
    }
    return table;
  }

  /** The best step to start with, or none if no step is usable. */
  int start() {
    return best(0, AnswerContext.FIRST);
  }

  /** The best step after an answer of this quality, or none if the answer is best accepted. */
  int afterAnswer(int step, double quality) {
    int best = next[step][AnswerContext.after(quality).index()];
    if (best == NONE) {
      return NONE;
    }
    boolean accepts = price * quality >= node(best, AnswerContext.after(quality)).value();
    return accepts ? NONE : best;
  }

  /** The next better step, whether or not it is worth its cost. */
  int nextUsable(int step) {
    for (int i = step + 1; i < usable.length; i++) {
      if (usable[i]) {
        return i;
      }
    }
    return NONE;
  }

  /** What is expected of a step in a context and of what may follow it. */
  Node node(int step, AnswerContext context) {
    return nodes[step][context.index()];
  }

  private void solve(int step) {
    for (int c = 1; c < AnswerContext.COUNT; c++) {
      next[step][c] = best(step + 1, new AnswerContext(c));
    }
    for (int c = 0; c < AnswerContext.COUNT; c++) {
      nodes[step][c] = judged(step, c);
    }
  }

  private int best(int from, AnswerContext context) {
    int best = NONE;
    for (int i = from; i < usable.length; i++) {
      if (usable[i] && (best == NONE || value(i, context) > value(best, context))) {
        best = i;
      }
    }
    return best;
  }

  private double value(int step, AnswerContext context) {
    return nodes[step][context.index()].value();
  }

  private Node judged(int step, int context) {
    StepModel model = models.get(step);
    double mean = model.means()[context];
    if (nextUsable(step) == NONE) {
      return new Node(price * mean - costs[step], mean, 1);
    }
    Mix mix = new Mix();
    double[] shares = model.shares()[context];
    for (int bin = 0; bin < shares.length; bin++) {
      addBin(mix, step, bin, shares[bin] * ratedShare);
    }
    addUnrated(mix, step, mean);
    return new Node(mix.value - costs[step], mix.quality, mix.accepted);
  }

  /** Ratings spread evenly over the bin; those above the threshold are accepted. */
  private void addBin(Mix mix, int step, int bin, double share) {
    double middle = RatingBins.middle(bin);
    Node onward = onward(step, middle);
    double threshold = onward.value() / price;
    double above = (RatingBins.low(bin) + RatingBins.WIDTH - threshold) / RatingBins.WIDTH;
    double accepted = Math.max(0, Math.min(1, above));
    double acceptedMean = middle + (1 - accepted) * RatingBins.WIDTH / 2;
    mix.accept(share * accepted, acceptedMean, price);
    mix.escalate(share * (1 - accepted), onward);
  }

  private void addUnrated(Mix mix, int step, double mean) {
    SignalModel signals = models.get(step).signals();
    if (!signals.isKnown()) {
      addPoint(mix, step, mean, 1 - ratedShare);
      return;
    }
    for (int bin = 0; bin < signals.shares().length; bin++) {
      if (signals.shares()[bin] > 0) {
        addPoint(mix, step, signals.means()[bin], (1 - ratedShare) * signals.shares()[bin]);
      }
    }
  }

  private void addPoint(Mix mix, int step, double quality, double share) {
    Node onward = onward(step, quality);
    if (price * quality >= onward.value()) {
      mix.accept(share, quality, price);
    } else {
      mix.escalate(share, onward);
    }
  }

  private Node onward(int step, double quality) {
    AnswerContext context = AnswerContext.after(quality);
    return node(next[step][context.index()], context);
  }

  /**
   * What a step leads to. Immutable.
   *
   * @param value price times quality, less the cost of this and later steps
   * @param quality mean rating of the answer that is sent
   * @param accepted chance that this step's own answer is sent
   */
  record Node(double value, double quality, double accepted) {}

  /** Sums over the ways in which an answer may be judged. Not thread-safe. */
  private static final class Mix {
    private double value;
    private double quality;
    private double accepted;

    void accept(double share, double rating, double price) {
      value += share * price * rating;
      quality += share * rating;
      accepted += share;
    }

    void escalate(double share, Node onward) {
      value += share * onward.value();
      quality += share * onward.quality();
    }
  }
}
