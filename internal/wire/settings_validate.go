package wire

import "fmt"

// maxSetting is the largest number that settings may hold. As a time in microseconds it is decades.
const maxSetting = 1e15

// RangeError says that a number of the settings cannot be meant.
type RangeError struct {
	Key        string // by its path, or by the name of its class
	Value, Max float64
}

// Error names the key, its value and its range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s is %v, want 0 to %v", e.Key, e.Value, e.Max)
}

// ClassNameError says that a class has no name, or that of another one.
type ClassNameError struct{ Name string }

// Error names the class.
func (e *ClassNameError) Error() string {
	return fmt.Sprintf("class %q has no name of its own", e.Name)
}

// boundedSetting is a number of the settings that has to be from 0 to max.
type boundedSetting struct {
	key   string
	value float64
	max   float64
}

// inRange is false for NaN, too.
func (s boundedSetting) inRange() bool { return s.value >= 0 && s.value <= s.max }

// validate says what cannot be meant, so that a start ends with it and not later in some odd behaviour.
func (o *settingsObject) validate() error {
	if err := o.validateClassNames(); err != nil {
		return err
	}
	for _, setting := range o.boundedSettings() {
		if !setting.inRange() {
			return &RangeError{setting.key, setting.value, setting.max}
		}
	}
	return nil
}

func (o *settingsObject) validateClassNames() error {
	seen := map[string]bool{}
	for _, class := range o.Classes {
		if class.Name == "" || seen[class.Name] {
			return &ClassNameError{class.Name}
		}
		seen[class.Name] = true
	}
	return nil
}

func (o *settingsObject) boundedSettings() []boundedSetting {
	settings := []boundedSetting{
		{"familyInfo.counterTimeoutUs", o.FamilyInfo.CounterTimeoutUs, maxSetting},
		{"familyInfo.maxUnits", o.FamilyInfo.MaxUnits, maxSetting},
		{"permissions.connIdleUs", o.Permissions.ConnIdleUs, maxSetting},
		{"permissions.connectTimeoutUs", o.Permissions.ConnectTimeoutUs, maxSetting},
		{"permissions.maxRetryAfterUs", o.Permissions.MaxRetryAfterUs, maxSetting},
		{"permissions.maxAttempts", float64(o.Permissions.MaxAttempts), maxSetting},
		{"permissions.maxOpen", float64(o.Permissions.MaxOpen), maxSetting},
		{"invariants.coldFrom", o.Invariants.ColdFrom, 1},
		{"invariants.warmAfterUs", o.Invariants.WarmAfterUs, maxSetting},
		{"invariants.fallUs", o.Invariants.FallUs, maxSetting},
		{"invariants.fallMultiple", o.Invariants.FallMultiple, maxSetting},
		{"invariants.drainGraceUs", o.Invariants.DrainGraceUs, maxSetting},
	}
	for _, class := range o.Classes {
		settings = append(settings,
			boundedSetting{class.Name + ".value", class.Value, maxSetting},
			boundedSetting{class.Name + ".lateShare", class.LateShare, 1},
			boundedSetting{class.Name + ".objectiveUs", class.ObjectiveUs, maxSetting},
			boundedSetting{class.Name + ".deadlineUs", class.DeadlineUs, maxSetting},
			boundedSetting{class.Name + ".windowUs", class.WindowUs, maxSetting},
		)
	}
	return settings
}
