/** What ratings say about the quality of versions. */
package org.guavagw.internal.quality;
