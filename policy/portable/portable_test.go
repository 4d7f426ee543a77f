package portable

import (
	"math"
	"math/big"
	"math/rand/v2"
	"testing"
)

const (
	referencePrecision = 200 // bits of the reference values
	referenceTerms     = 30  // terms of the Taylor series of the reference
	referenceHalvings  = 12  // halvings of the argument before the series
	errorSamples       = 10_000
	maxErrorULP        = 1.0 // units in the last place
)

// negativeZero is -0, for which Go has no constant.
var negativeZero = math.Copysign(0, -1)

func newReference(x float64) *big.Float {
	return new(big.Float).SetPrec(referencePrecision).SetFloat64(x)
}

// referenceExp returns e**x, for |x| below 2**12.
func referenceExp(x *big.Float) *big.Float {
	reduced := new(big.Float).SetMantExp(x, -referenceHalvings)
	result, term := newReference(1), newReference(1)
	for divisor := 1; divisor <= referenceTerms; divisor++ {
		term.Quo(term.Mul(term, reduced), newReference(float64(divisor)))
		result.Add(result, term)
	}
	for range referenceHalvings {
		result.Mul(result, result)
	}
	return result
}

// referenceLog returns ln x, for a positive x, by Newton's method from the result of package math.
func referenceLog(x float64) *big.Float {
	result := newReference(math.Log(x))
	for range 5 {
		inverse := referenceExp(new(big.Float).Neg(result))
		correction := inverse.Mul(inverse, newReference(x))
		result.Add(result, correction.Sub(correction, newReference(1)))
	}
	return result
}

// ulpError returns the difference between got and want in units of the last place of want.
func ulpError(got float64, want *big.Float) float64 {
	nearest, _ := want.Float64()
	_, exponent := math.Frexp(nearest)
	unit := math.Ldexp(1, exponent-mantissaBits-1)
	difference := newReference(got)
	difference.Sub(difference, want)
	result, _ := difference.Quo(difference, newReference(unit)).Float64()
	return math.Abs(result)
}

// checkError compares a function with its reference for random arguments between low and high.
func checkError(t *testing.T, low, high float64, function func(float64) float64, reference func(*big.Float) *big.Float) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	worst, worstAt := 0.0, 0.0
	for range errorSamples {
		x := low + float64((high-low)*rng.Float64())
		if got := ulpError(function(x), reference(newReference(x))); got > worst {
			worst, worstAt = got, x
		}
	}
	if worst >= maxErrorULP {
		t.Errorf("between %v and %v: got an error of %.3f ulp at %v, want below %v", low, high, worst, worstAt, maxErrorULP)
	}
}

func TestExpIsWithinOneUnitInTheLastPlace(t *testing.T) {
	checkError(t, -1, 1, Exp, referenceExp)
	checkError(t, -700, 700, Exp, referenceExp)
}

func TestExp2IsWithinOneUnitInTheLastPlace(t *testing.T) {
	ln2 := referenceLog(2)
	reference := func(x *big.Float) *big.Float { return referenceExp(x.Mul(x, ln2)) }
	checkError(t, -1, 1, Exp2, reference)
	checkError(t, -1000, 1000, Exp2, reference)
}

func TestPowIsWithinOneUnitInTheLastPlace(t *testing.T) {
	for _, base := range []float64{0.85, 0.3, 0.71, 1.0001, 1.4, 2, 7.5, 1e10} {
		logarithm := referenceLog(base)
		span := math.Abs(8 / math.Log(base)) // results between e**-8 and e**8
		checkError(t, -span, span, func(y float64) float64 { return Pow(base, y) },
			func(y *big.Float) *big.Float { return referenceExp(y.Mul(y, logarithm)) })
	}
}

// oneArgumentCase is an argument and the exact bits of the result.
type oneArgumentCase struct {
	x    float64
	want uint64
}

func checkBits(t *testing.T, function func(float64) float64, cases []oneArgumentCase) {
	t.Helper()
	for _, c := range cases {
		if got := math.Float64bits(function(c.x)); got != c.want {
			t.Errorf("of %v: got bits %#016x, want %#016x", c.x, got, c.want)
		}
	}
}

func TestExpHasExactBits(t *testing.T) {
	checkBits(t, Exp, []oneArgumentCase{
		{0, 0x3ff0000000000000},
		{negativeZero, 0x3ff0000000000000},
		{1, 0x4005bf0a8b145769},
		{-1, 0x3fd78b56362cef38},
		{0.5, 0x3ffa61298e1e069c},
		{-0.1, 0x3fecf46d99d52b3a},
		{-0.35252807364377103, 0x3fe67e3aac023dc9},
		{-0.001, 0x3feff7cfe56f1a9e},
		{1e-300, 0x3ff0000000000000},
		{-2.25, 0x3fbafb718e8457f7},
		{20.5, 0x41c7d6c4f0bcdd5c},
		{-100, 0x36ea8c1f14e2af5d},
		{709.7, 0x7fed75ae7a50ee14},
		{709.782712893384, 0x7fefffffffffff2a},
		{709.8, 0x7ff0000000000000},
		{-708.4, 0x000ff15b469edf89}, // from here on denormal, then 0
		{-740, 0x0000000000000055},
		{-745.1, 0x0000000000000001},
		{-745.2, 0x0000000000000000},
		{math.MaxFloat64, 0x7ff0000000000000},
		{-math.MaxFloat64, 0x0000000000000000},
		{math.Inf(1), 0x7ff0000000000000},
		{math.Inf(-1), 0x0000000000000000},
		{math.NaN(), 0x7ff8000000000001},
	})
}

func TestExp2HasExactBits(t *testing.T) {
	checkBits(t, Exp2, []oneArgumentCase{
		{0, 0x3ff0000000000000},
		{negativeZero, 0x3ff0000000000000},
		{1, 0x4000000000000000},
		{-1, 0x3fe0000000000000},
		{10, 0x4090000000000000},
		{0.5, 0x3ff6a09e667f3bcc},
		{-0.1, 0x3feddb680117ab12},
		{-0.5, 0x3fe6a09e667f3bcc},
		{-0.001, 0x3feffa52de61c11f},
		{1e-300, 0x3ff0000000000000},
		{-2.25, 0x3fcae89f995ad3ad},
		{20.5, 0x4136a09e667f3bcc},
		{-100.3, 0x39a9fdf8bcce534c},
		{1023.9999999999999, 0x7feffffffffffd3a},
		{1024, 0x7ff0000000000000},
		{-1022.5, 0x000b504f333f9de6}, // from here on denormal, then 0
		{-1074, 0x0000000000000001},
		{-1074.9, 0x0000000000000001},
		{-1075, 0x0000000000000000},
		{math.MaxFloat64, 0x7ff0000000000000},
		{-math.MaxFloat64, 0x0000000000000000},
		{math.Inf(1), 0x7ff0000000000000},
		{math.Inf(-1), 0x0000000000000000},
		{math.NaN(), 0x7ff8000000000001},
	})
}

func TestPowHasExactBits(t *testing.T) {
	for _, c := range []struct {
		x, y float64
		want uint64
	}{
		{0.85, 0, 0x3ff0000000000000},
		{0.85, 1, 0x3feb333333333333},
		{0.85, 1.7, 0x3fe84671128cb008},
		{0.85, 2, 0x3fe71eb851eb851e},
		{0.85, 3.3, 0x3fe2b7828f15e416},
		{0.85, 4, 0x3fe0b4467381d7db},
		{2, 0.5, 0x3ff6a09e667f3bcc},
		{2, 10, 0x4090000000000000},
		{10, -3.5, 0x3f34b96be9c2da2c},
		{1, 5, 0x3ff0000000000000},
		{1, math.Inf(1), 0x3ff0000000000000},
		{0.85, math.Inf(1), 0x0000000000000000},
		{0.85, math.Inf(-1), 0x7ff0000000000000},
		{2, 2000, 0x7ff0000000000000},
		{2, -1074, 0x0000000000000001},
		{2, -1080, 0x0000000000000000},
		{math.SmallestNonzeroFloat64, 0.5, 0x1e60000000000000},
		{0, 1, 0x7ff8000000000001},
		{-1, 2, 0x7ff8000000000001},
		{math.Inf(1), 1, 0x7ff8000000000001},
		{math.NaN(), 1, 0x7ff8000000000001},
		{2, math.NaN(), 0x7ff8000000000001},
	} {
		if got := math.Float64bits(Pow(c.x, c.y)); got != c.want {
			t.Errorf("%v to the power of %v: got bits %#016x, want %#016x", c.x, c.y, got, c.want)
		}
	}
}

// benchmarkSink keeps the compiler from removing the computations of a benchmark.
var benchmarkSink float64

// benchmarkFunction measures a function of one argument; each call depends on the one before.
func benchmarkFunction(b *testing.B, function func(float64) float64) {
	const dependence = 1e-12 // small enough to leave the argument nearly as it is
	sum := 0.0
	for b.Loop() {
		sum += function(-0.5 - dependence*sum)
	}
	benchmarkSink = sum
}

func BenchmarkExp(b *testing.B) {
	b.Run("portable", func(b *testing.B) { benchmarkFunction(b, Exp) })
	b.Run("math", func(b *testing.B) { benchmarkFunction(b, math.Exp) })
}

func BenchmarkExp2(b *testing.B) {
	b.Run("portable", func(b *testing.B) { benchmarkFunction(b, Exp2) })
	b.Run("math", func(b *testing.B) { benchmarkFunction(b, math.Exp2) })
}

func BenchmarkPow(b *testing.B) {
	const base = 0.85
	b.Run("portable", func(b *testing.B) {
		benchmarkFunction(b, func(y float64) float64 { return Pow(base, y) })
	})
	b.Run("math", func(b *testing.B) {
		benchmarkFunction(b, func(y float64) float64 { return math.Pow(base, y) })
	})
}
